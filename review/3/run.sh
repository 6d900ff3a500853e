#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/eiderscale.jar ] && [ -f review/target/Case3.class ] || { echo "not built" >&2; exit 2; }
timeout -k 3 112 java -Xmx512m -cp review/target Case3 "$here/record.txt"
case $? in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
