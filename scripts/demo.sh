#!/usr/bin/env bash
# Runs the whole path on stand-ins: a platform, upstreams, one daemon in each
# zone of a configuration, balsamctl, callers. Prints what callers received and
# exits non-zero if any answer was wrong.
#
# usage: scripts/demo.sh CONFIG [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
config="$1"
seconds="${2:-10}"

echo "== $config"
start_fleet "$config"
sleep 3 # buckets start empty and fill
"$bin/balsamctl" --operators "$operators" fleet status
status=0
"$bin/balsamlab" callers "$config" --entry "$callers" --duration "${seconds}s" || status=$?

echo "stopping"
for pid in "${daemons[@]}"; do kill -TERM "$pid"; done
for pid in "${daemons[@]}"; do
  wait "$pid" || {
    echo "a daemon did not stop cleanly"
    status=1
  }
done
kill -TERM "$upstreams"
wait "$upstreams" || true
echo "upstreams saw: $(cat "$work/upstreams.json")"
grep -q '"keys_seen":0,"doubled":0' "$work/upstreams.json" || {
  echo "an upstream saw a key, or a posting ran twice"
  status=1
}
exit "$status"
