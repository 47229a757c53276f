#!/usr/bin/env bash
# Checks the Promela models in spec/ with spin, four at a time. Each NAME.pml must
# hold. For each line of spec/broken.txt ("NAME DEFINE") the model built with
# -DDEFINE must be refuted, which shows that the check can fail.
#
# usage: scripts/model.sh                check them all
#        scripts/model.sh NAME [DEFINE]  check one of them
set -euo pipefail
cd "$(dirname "$0")/.."

# search NAME [DEFINE]: prints the report of a full search. The callers match the
# report, because pan exits with 0 also if it found an error.
search() {
  local model="$PWD/spec/$1.pml" work
  work="$(mktemp -d)"
  (cd "$work" && spin -a ${2:+"-D$2"} "$model" >/dev/null &&
    gcc -O2 -DSAFETY -DCOLLAPSE -o pan pan.c 2>/dev/null && ./pan -m1000000 -w24 2>&1)
  rm -rf "$work"
}

# holds NAME: checks that the search found no error and was complete.
holds() {
  local report
  report="$(search "$1")"
  if ! grep -q "errors: 0" <<<"$report" || grep -qE "max search depth too small|out of memory|search truncated" <<<"$report"; then
    echo "$report"
    echo "model $1: FAILED"
    exit 1
  fi
  echo "model $1: holds, $(grep -m1 'states, stored' <<<"$report" | awk '{print $1}') states"
}

# refuted NAME DEFINE: checks that the search found an error.
refuted() {
  local report
  report="$(search "$1" "$2")"
  if ! grep -qE "errors: [1-9]" <<<"$report"; then
    echo "$report"
    echo "model $1 with $2: FAILED, not refuted"
    exit 1
  fi
  echo "model $1 with $2: refuted, as it must be"
}

if [ $# -eq 1 ]; then
  holds "$1"
elif [ $# -eq 2 ]; then
  refuted "$1" "$2"
else
  {
    for file in spec/*.pml; do basename "$file" .pml; done
    cat spec/broken.txt
  } | xargs -P 4 -L 1 "$0"
fi
