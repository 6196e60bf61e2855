#!/usr/bin/env bash
# Runs one test of a test binary and prints its output whole, so that tests in parallel processes don't mix their lines.
# usage: [LABEL=TEXT] one.sh BINARY TEST [FLAG...]
set -euo pipefail
binary=$1 name=$2
shift 2
label="$name ${LABEL:-}"
start=$SECONDS
if output=$("$binary" -test.run "^$name\$" "$@" 2>&1); then
  echo "ok  $label $((SECONDS - start))s"
else
  status=$?
  printf '%s\n--- FAIL: %s in %ss, exit status %s\n' "$output" "$label" "$((SECONDS - start))" "$status"
  exit "$status"
fi
