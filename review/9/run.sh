#!/bin/sh
# Restores the store from a copy from before a departure, and restarts the daemon that has acknowledged it, as planned. TROUBLE=0 leaves the
# restore out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin2 ] || exit 2
exec target/review-2/standin2 forget review/9/record.txt
