#!/bin/sh
# Builds the stand-ins of the second review: Python sources, which need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/stand_ins_2 review/6 review/7 review/8 review/9 review/10
