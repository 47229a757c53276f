#!/usr/bin/env bash
# Runs a full fleet against stand-ins: a platform, upstreams, one daemon in each
# zone of a configuration, balsamctl and callers. Prints a report of the responses
# that callers received, and exits non-zero if a response was wrong, a posting ran
# twice, a key reached an upstream, or a daemon did not stop cleanly.
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
sleep 3 # token buckets start empty and need time to fill
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
