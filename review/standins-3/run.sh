#!/bin/bash
# Runs a case of the harness: run.sh CASE RECORD TROUBLE. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-3/harness ] || [ ! -x target/release/tamaracklb-front ]; then
    echo "could not run: build the deploy file and review/build-3.sh first" | tee "$2"
    exit 2
fi
temporary=$(mktemp -d) || exit 2
timeout -s KILL 115 target/review-3/harness "$1" "$2" "$3" "$temporary"
code=$?
# Ends the daemons that a harness which was killed has left.
if [ -f "$temporary/ids" ]; then
    while read -r id; do
        if [ "$(cat "/proc/$id/comm" 2>/dev/null)" = tamaracklb-fron ]; then
            kill -KILL "$id"
        fi
    done < "$temporary/ids"
fi
rm -rf "$temporary"
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
