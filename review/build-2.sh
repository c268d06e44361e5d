#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on. They are Python and need only the standard library of python3 (3.11 or later),
# so building means compiling them. The programs of the project are built by the command of deploy/system.toml before.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile harness_2.py [6-9]/case.py
