#!/usr/bin/env bash
# Regenerates the committed code of the snapshot. Needs protoc, and
# protoc-gen-go in .bin (see docs/DEVELOPMENT.md). The build does not need it.
set -euo pipefail
cd "$(dirname "$0")"
PATH="$(git rev-parse --show-toplevel)/.bin:$PATH" protoc -I . \
  --go_out=. --go_opt=paths=source_relative ./*.proto
