#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
# the disruption is left out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec target/review-2/world old-primary "$here/record.txt" "${TROUBLE:-1}"
