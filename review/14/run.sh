#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. Writes what was sent,
# answered and run to record.txt in this folder. With TROUBLE=0 the disruption is left out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec review/standins-3/run.sh lost "$here/record.txt" "${TROUBLE:-1}"
