#!/usr/bin/env bash
# Regenerates the committed Go code of all protobuf messages. Requires protoc, and
# both generators in .bin (see docs/DEVELOPMENT.md). The build does not run it.
set -euo pipefail
cd "$(dirname "$0")/.."
PATH="$PWD/.bin:$PATH"
generate() { # PACKAGE [OPTION...]
  (cd "internal/$1" && protoc -I . --go_out=. --go_opt=paths=source_relative "${@:2}" ./*.proto)
}
generate fleet
generate snapshot
generate peer --go-drpc_out=. --go-drpc_opt=paths=source_relative
