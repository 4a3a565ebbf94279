#!/bin/sh
# Prepares the stand-ins of the review's cases. They are Python scripts, so
# there is nothing to compile; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.path.insert(0, "lib"); import mesh'
python3 -m py_compile [1-5]/case.py
