#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are Python without dependencies.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile review/support_3/*.py
