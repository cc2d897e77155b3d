#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start. Needs the JDK only, no network.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/stand-ins-2
mkdir -p target/stand-ins-2
javac --release 17 -d target/stand-ins-2 stand-ins-2/*.java
