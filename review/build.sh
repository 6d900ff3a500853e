#!/bin/sh
# Builds the stand-ins of all cases. The balancer itself comes from the build of the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p target
javac -Xlint:all -d target standin/*.java
