#!/bin/sh
# The stand-ins of review/11 to 15 are Python programs of review/stand-3 and of
# each case: they need python3, which the deploy file's packages bring (by
# libglib2.0-dev), and nothing else. Checks that all of them compile.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import glob
for p in sorted(glob.glob("stand-3/*.py") + glob.glob("1[1-5]/*.py")):
    compile(open(p, encoding="utf-8").read(), p, "exec")
    print("checked", p)
'
