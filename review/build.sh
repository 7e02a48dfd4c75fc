#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. They are Python files that need the
# standard library only, so this checks that each compiles with the interpreter that runs them.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "no .venv: run the build of the deploy file first"; exit 2; }
.venv/bin/python - review/stand_ins/*.py review/[0-9]/*.py <<'END'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_bytes(), name, "exec")
print(len(sys.argv) - 1, "stand-ins and scripts compile")
END
