#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
set -u
TROUBLE="${TROUBLE:-1}"
export TROUBLE
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
PYTHONPATH="$root/target/deps:$root/review/lib-2" \
    PYTHONDONTWRITEBYTECODE=1 python3 "$here/case.py"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
