#!/usr/bin/env bash
# Runs a case of the review: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
record="review/$2/record.txt"
if [ ! -x target/review/standins ] || [ ! -x target/release/tamaracklb-front ]; then
    echo "build the deploy file and review/build.sh first" >&2
    exit 2
fi
finish() {
    # The stand-ins end what they started; this is for runs that were broken off.
    kill "$1" 2>/dev/null
    for id in $(sed -n 's/.*: process \([0-9]*\) starts$/\1/p' "$record"); do
        if [ "$(readlink "/proc/$id/exe")" = "$PWD/target/release/tamaracklb-front" ]; then
            kill -9 "$id"
        fi
    done
}
target/review/standins "$1" "$record" &
running=$!
trap 'finish "$running"; exit 2' INT TERM
wait "$running"
status=$?
finish "$running"
exit "$status"
