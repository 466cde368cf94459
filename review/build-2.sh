#!/bin/bash
# Builds what the scripts of review/6 to review/10 start besides the program of the deploy file. Their stand-ins are
# Python scripts of regress/front and review/lib2, which need no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - regress/front/site_front.py regress/front/store.py regress/front/engines.py regress/front/wire.py review/lib2/*.py review/*/case.py <<'CHECK'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        ast.parse(source.read(), name)
CHECK
