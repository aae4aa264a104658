#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it
# does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/pimentowind ] && [ -x target/rig ] || { echo "build the deploy file's program and review/build-3.sh first"; exit 2; }
exec timeout --signal=TERM --kill-after=5 100 target/rig short-freeze "$folder" "${TROUBLE:-1}"
