#!/usr/bin/env bash
# Builds the stand-ins of the cases. target/balsambarrowd comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standins ./review/standins
