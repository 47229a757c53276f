#!/usr/bin/env bash
# Builds the stand-ins of the second review: callers, upstreams and the platform's store.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2-standins ./review/standins-2
