#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")" || exit 2
timeout -k 5 110 python3 -B run.py &
trap 'kill -TERM $! 2> /dev/null' TERM INT
wait $!
status=$?
# A signal ends the first wait early.
[ "$status" -le 128 ] || { wait $!; status=2; }
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
