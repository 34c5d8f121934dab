#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the same without the disruption. What was sent, answered and
# run is written to record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 "$here/run.py" "$here/record.txt"
