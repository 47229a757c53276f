#!/usr/bin/env bash
# Runs every fuzz target for a limited time. New failing inputs are written to the
# package's testdata/fuzz, to be committed. CI runs only the committed inputs, as
# part of go test, so that its result is reproducible.
#
# usage: scripts/fuzz.sh [TIME]
set -euo pipefail
cd "$(dirname "$0")/.."
time="${1:-20s}"
grep -rn --include='*_test.go' -oE '^func Fuzz[A-Za-z0-9]+' internal platform | while IFS=: read -r file _ func; do
  name="${func#func }"
  echo "== $name"
  go test -run '^$' -fuzz "^$name\$" -fuzztime "$time" "./$(dirname "$file")"
done
