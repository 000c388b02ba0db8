#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" leave 3
