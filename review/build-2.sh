#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. It needs Go and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -C review/standin-2 -o ../../target/review-2/standin2 .
