#!/usr/bin/env bash
# RECOVER: a machine partitioned from all runners serves no request whose body is in chunks.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
export PROGRAM="$PWD/target/release/clementinepond"
driver="$PWD/target/review/release/review_standins"
[ -x "$PROGRAM" ] && [ -x "$driver" ] || { echo "build the deploy file's program and review/build.sh first"; exit 2; }
"$driver" cut-chunked review/4/record.txt "$TROUBLE" &
pid=$!
trap 'kill "$pid"' TERM INT
wait "$pid"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
