#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/main.js ] && [ -f ../../target/emulator/state.js ] || { echo "not built: review/build.sh"; exit 2; }
node case.mjs &
pid=$!
trap 'kill -TERM $pid' TERM INT
wait $pid
code=$?
# A signal ends the first wait; the case then ends what it started.
[ $code -gt 128 ] && { wait $pid; code=2; }
case $code in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
