#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review/review_cases ] || exit 2
../../target/review/review_cases two_holders_in_a_cut record.txt
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
