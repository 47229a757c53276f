#!/usr/bin/env bash
# Plays the case late-request: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Before: the build of deploy/system.toml, and review/build.sh.
set -u
cd "$(dirname "$0")/../.."
REVIEW_PIDS=$(mktemp)
export REVIEW_PIDS
end() { # ends the hosts that are left if the stand-ins were killed
  while read -r pid; do
    if [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = balsambarrowd ]; then kill -KILL "$pid"; fi
  done <"$REVIEW_PIDS"
  rm -f "$REVIEW_PIDS"
}
trap end EXIT
trap 'exit 2' INT TERM
[ -x target/balsambarrowd ] && [ -x target/review-standins ] || { echo "run the builds first" >&2; exit 2; }
timeout -k 5 100 target/review-standins late-request review/3
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
