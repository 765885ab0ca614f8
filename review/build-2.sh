#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the programs of the deploy
# file: their stand-ins, which are Python modules without dependencies. It compiles them
# to nowhere, which shows that they can be loaded with the interpreter of this machine.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
PYTHONDONTWRITEBYTECODE=1 python3 - review/support/*.py review/[6-9]/case.py review/10/case.py <<'PYTHON'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    if Path(name).exists():
        compile(Path(name).read_text(), name, "exec")
PYTHON
