#!/usr/bin/env bash
# Builds the stand-ins of the scripts, with the JDK alone, into review/target.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac -Xlint:all,-try -d target/classes stand-ins/src/review/*.java
