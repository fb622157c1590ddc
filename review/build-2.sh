#!/bin/sh
# Prepares the stand-ins of cases 6 to 10: checks that they compile. They need
# Python 3.11 and its standard library only; the fronts need `target/deps`, which
# the build of the deploy file fills.
set -eu
cd "$(dirname "$0")"
for file in standins-2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
