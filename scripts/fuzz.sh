#!/usr/bin/env bash
# Runs every fuzz target for a bounded time; new inputs that fail are written to
# the package's testdata/fuzz, to be committed. CI runs the committed inputs
# only (go test does), so that its verdict is the same on every run.
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
