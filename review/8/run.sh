#!/bin/sh
# Lets a server leave while the store is away, and kills the daemon that has acknowledged it. TROUBLE=0 leaves the outage and the kill out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin2 ] || exit 2
exec target/review-2/standin2 leave review/8/record.txt
