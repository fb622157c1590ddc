#!/bin/sh
# The stand-ins of the cases are Python modules of the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
