#!/usr/bin/env bash
# Eight daemons: orders, some at a server that has turned slow, and behind each a lookup on the same connection.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
PROJECT="$(cd ../.. && pwd)" || exit 2
export PROJECT
[ -x ../bin/standin ] && [ -x "$PROJECT/target/marigoldwinch" ] || { echo "build first"; exit 2; }
exec ../bin/standin pipeline record.txt
