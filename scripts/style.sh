#!/usr/bin/env bash
# Checks for style faults that the linters do not detect: comments that contain
# measurements, and terms of the platform outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
code() { git ls-files '*.go' | grep -v '\.pb\.go$'; }
failed=0
report() { # TEXT PATTERN FILES...
  local text="$1" pattern="$2"
  shift 2
  if grep -nEi "$pattern" "$@"; then
    echo "^ $text"
    failed=1
  fi
}
mapfile -t sources < <(code | grep -v '_test\.go$')
mapfile -t inner < <(code | grep -v -e '^platform/' -e '_test\.go$' -e '^internal/standin/' -e '^cmd/balsamlab/')
report "comments hold no measurements: they stand in commits and docs/measurements" \
  '//.*\b(worth of|trials? shows?|mean of [0-9.]+|measured (over|on|at) |on seed)\b' "${sources[@]}"
report "the platform's words are translated in platform/" \
  '(//|").*\b(payoff|evacuation ack|fleetbench|X-Server-Load|X-Not-Executed|kv-txn|op/config)\b' "${inner[@]}"
exit "$failed"
