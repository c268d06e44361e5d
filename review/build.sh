#!/usr/bin/env bash
# The stand-ins use only Python's standard library, so compiling them is all there is to build.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
