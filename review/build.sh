#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../bin/standin .
