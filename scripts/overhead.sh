#!/usr/bin/env bash
# Measures the latency that a daemon adds to a call, compared with direct calls to
# the same stand-in upstreams in the same run, and the throughput and processor time
# of the daemon.
#
# usage: scripts/overhead.sh
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
upstream_flags=(--service-time 1us)
unbounded="$(mktemp)"
echo '{"customers":{"addison-farms":{"rate":1000000,"burst":1000000}}}' >"$unbounded"
start_fleet examples/granite-hollow.jsonc "$unbounded"
rm "$unbounded"
sleep 3

# cpu ADDRESS: prints the processor time that the daemon has used, in seconds.
cpu() { "$bin/balsamlab" metric --operators "$1" process_cpu_seconds_total; }

upstream="$(grep -o '"lookup-01":{"address":"[^"]*' "$work/addresses.json" | cut -d'"' -f6)"
for stage in pairs requests lookups; do
  before="$(cpu "$operators")"
  "$bin/balsamlab" overhead --stage "$stage" --entry "$callers" --upstream "$upstream" --key demo-addison-farms
  after="$(cpu "$operators")"
  echo "                   processor time of the entry daemon: $(awk "BEGIN { print $after - $before }") s"
done
