#!/usr/bin/env bash
# The stand-ins need the standard library alone; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile common/standins.py ./*/case.py
