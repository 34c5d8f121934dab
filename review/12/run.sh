#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption. Writes record.txt beside this file.
set -u
cd "$(dirname "$0")" || exit 2
timeout 118 python3 case.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
