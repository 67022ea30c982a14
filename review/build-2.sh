#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python and use the programs'
# own dependencies in target/deps, so this only checks that they compile and
# that what they import is there.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
[ -d target/deps/dandelioncleat ] || sh deploy/build.sh
for file in review/lib-2/*.py review/6/*.py review/7/*.py review/8/*.py \
    review/9/*.py review/10/*.py; do
    [ ! -f "$file" ] || python3 - "$file" <<'CHECK'
import sys
name = sys.argv[1]
with open(name, encoding='utf-8') as source:
    compile(source.read(), name, 'exec')
CHECK
done
PYTHONPATH="$root/target/deps:$root/review/lib-2" \
    PYTHONDONTWRITEBYTECODE=1 python3 -c 'import deployment'
