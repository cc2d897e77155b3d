#!/usr/bin/env bash
# Turns that go on from long sessions while the platform's store is down. Ends with 1 if processes ended by
# themselves, 0 if none did, 2 if the case could not run. TROUBLE=0: the store stays up.
cd "$(dirname "$0")/../.." || exit 2
record=$PWD/review/4/record.txt
[ -f review/target/stand-ins-2/ChainsInAnOutage.class ] || exit 2
[ -f platform/target/java-options ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
java -Xmx1g -cp review/target/stand-ins-2 ChainsInAnOutage "$record" "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
