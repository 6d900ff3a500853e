#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/eiderscale.jar ] && [ -d target/review-2 ] || { echo "build the project and review/build-2.sh first" >&2; exit 2; }
exec java -Xmx256m -cp target/review-2 Case6 "$PWD" "$PWD/review/6"
