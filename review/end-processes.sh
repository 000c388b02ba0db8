#!/usr/bin/env bash
# Ends the daemons that a broken-off run has left: end-processes.sh RECORD. The stand-ins end what
# they started themselves. A record names the process ids; only processes of this build are ended.
program="$(cd "$(dirname "$0")/.." && pwd)/target/release/tamaracklb-front"
for id in $(sed -n 's/.*: process \([0-9]*\) starts$/\1/p' "$1"); do
    if [ "$(readlink "/proc/$id/exe")" = "$program" ]; then
        kill -9 "$id"
    fi
done
