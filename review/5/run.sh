#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" pinned 5
