#!/usr/bin/env bash
# PINNED: the leader is killed, and the next one resets a public session's connection.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
# it runs the control: the same sessions without the kill.
# record.txt gets what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
trouble="${TROUBLE:-1}"
record=review/5/record.txt
: > "$record" || exit 2
if [ ! -x target/review/standins ] || [ ! -x target/release/tamaracklb-front ]; then
    echo "build the deploy file and review/build.sh first" | tee "$record" >&2
    exit 2
fi
target/review/standins pinned "$trouble" "$record" &
running=$!
trap 'kill "$running"; bash review/end-processes.sh "$record"; rm -rf "${TMPDIR:-/tmp}/review-$running"; exit 2' INT TERM
wait "$running"
status=$?
bash review/end-processes.sh "$record"
# Any other status means that the stand-ins themselves have failed.
case "$status" in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
