#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || { echo "no .venv: run the build of the deploy file first"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python review/1/case.py &
case_process=$!
# a script that is ended early passes the signal on, so that no process is left over
trap 'kill -TERM "$case_process" 2>/dev/null; wait "$case_process"; exit 2' TERM INT HUP
wait "$case_process"
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
