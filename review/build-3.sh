#!/bin/sh
# Builds the stand-ins of the third review into target/review-3.
set -eu
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target/review-3
go build -o ../../target/review-3/standin-3 .
