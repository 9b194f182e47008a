#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/4 and later: they are Python
# programs without dependencies, which only have to compile. The program under
# test is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - world2.py [4-8]/*.py <<'P'
import sys
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
P
