# Starts and stops a fleet of daemons and stand-ins. It is sourced by demo.sh and
# the measurement scripts.
#
# start_fleet CONFIG [MERGE...] starts the fleet. Each MERGE is a merge patch that
# is applied to the configuration. Before the call, upstream_flags may be set to
# flags of `balsamlab upstreams`, and tracing=1 makes each daemon write its spans
# to $work/ZONE.spans. After the call these variables are set:
#   $work       directory with logs, removed by stop_fleet
#   $platform   URL of the platform
#   $zones      zones, one daemon in each
#   $daemons    process IDs of the daemons
#   $operators, $callers   addresses of the first daemon
bin="$PWD/.bin"
pids=()
daemons=()
upstream_flags=()

stop_fleet() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}

# await FILE TEXT: waits until a file contains a text.
await() {
  local _
  for _ in $(seq 200); do
    grep -q "$2" "$1" 2>/dev/null && return
    sleep 0.1
  done
  echo "$1 holds no $2 after 20 s"
  exit 1
}

# field NAME FILE: prints one value of a daemon's "listening" log event.
field() { grep -m1 'msg=listening' "$2" | tr ' ' '\n' | sed -n "s/^$1=//p"; }

start_daemon() {
  local zone="$1" trace_file=""
  [ -z "${tracing:-}" ] || trace_file="$work/$zone.spans"
  cat >"$work/$zone.jsonc" <<S
{
  "host": "entry-$zone",
  "zone": "$zone",
  "platform": { "url": "$platform" },
  "trace_file": "$trace_file",
  "tls": { "plain": true } // loopback only
}
S
  "$bin/balsambarrowd" "$work/$zone.jsonc" 2>"$work/$zone.log" &
  daemons+=($!)
  pids+=($!)
}

start_fleet() {
  local config="$1" zone merges=()
  shift
  for patch in "$@"; do merges+=(--merge "$patch"); done
  work="$(mktemp -d)"
  trap stop_fleet EXIT
  "$bin/balsamlab" platform --announce "$work/platform" &
  pids+=($!)
  "$bin/balsamlab" upstreams "$config" --announce "$work/addresses.json" --report "$work/upstreams.json" "${upstream_flags[@]}" &
  upstreams=$!
  pids+=("$upstreams")
  await "$work/platform" :
  await "$work/addresses.json" upstreams
  platform="http://$(cat "$work/platform")"
  zones="$(sed -n '/"zones"/,/^  }/s/^ *"\([a-z0-9-]*\)": { "region".*/\1/p' "$config")"
  for zone in $zones; do start_daemon "$zone"; done
  for zone in $zones; do
    await "$work/$zone.log" 'msg=listening'
    "$bin/balsamlab" host --platform "$platform" --name "entry-$zone" --zone "$zone" --peers "$(field peers "$work/$zone.log")"
  done
  first="$(head -1 <<<"$zones")"
  operators="$(field operators "$work/$first.log")"
  callers="$(field callers "$work/$first.log")"
  "$bin/balsamctl" --operators "$operators" config apply "$config" --merge "$work/addresses.json" "${merges[@]}" --wait
  for zone in $zones; do await "$work/$zone.log" 'msg=slots_changed'; done
}
