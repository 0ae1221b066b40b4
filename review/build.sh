#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS="${GOFLAGS:-} -mod=mod" GOWORK=off go build -o bin/harness ./harness 2>bin-build.log || {
  cat bin-build.log >&2
  exit 1
}
rm -f bin-build.log
