#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without its disruption. Exit status: 1 the rule was
# broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/harness ] && [ -x target/chestnutstream ] || exit 2
timeout -k 2 115 review/bin/harness two-models review/4/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
