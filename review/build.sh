#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
log=$(mktemp)
trap 'rm -f "$log"' EXIT
GOWORK=off go build -mod=mod -buildvcs=false -o bin/harness ./harness 2>"$log" || {
  cat "$log" >&2
  exit 1
}
