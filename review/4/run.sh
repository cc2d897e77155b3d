#!/usr/bin/env bash
# Turns that go on from long sessions while the platform's store is down. TROUBLE=0: the store stays up.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
record=$PWD/review/4/record.txt
[ -f review/target/stand-ins-2/ChainsInAnOutage.class ] || exit 2
[ -f platform/target/java-options ] || exit 2
folder=$(mktemp -d) || exit 2
case_pid=
# The case ends its nodes when it ends, also by a signal.
finish() {
  if [ -n "$case_pid" ]; then
    kill "$case_pid" 2>/dev/null
    wait "$case_pid" 2>/dev/null
  fi
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' TERM INT HUP
java -Xmx1g -cp review/target/stand-ins-2 ChainsInAnOutage "$record" "$folder" &
case_pid=$!
wait "$case_pid"
status=$?
case_pid=
[ "$status" -le 1 ] || status=2
exit "$status"
