#!/usr/bin/env bash
# Builds what the scripts of the second review start: the daemon, as the deploy file does, and the
# stand-ins for callers, upstreams and the platform's store.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/ ./cmd/balsambarrowd
go build -o target/review-2-standins ./review/standins-2
