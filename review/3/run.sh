#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
trouble=${TROUBLE:-1}
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review/review_cases ] || exit 2
# The stand-in and the programs it starts are one process group, ended as a
# whole.
set -m
../../target/review/review_cases queue_of_a_new_service record.txt "$trouble" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' TERM INT
wait "$group"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
