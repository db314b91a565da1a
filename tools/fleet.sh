# Functions that start and stop a deployment of hosts, a simulated platform and simulated
# targets on the loopback interface.  Sourced by tools/demo, tools/measure_* and the process
# tests.
#
#   fleet_start DIR BASE_PORT    use ports from BASE_PORT on, which must stay below the range of
#                                ephemeral ports (32768 on), and write logs to DIR
#   fleet_add_targets SERVICE N FLAGS...   start N instances of a service
#   fleet_start_hosts N WORKERS        start N hosts in three data centres
#   fleet_accept_configuration ANSWERS         derive and accept a configuration, wait until it is in effect
#   fleet_wait_serving                wait until all hosts report that every slot is served
#   fleet_stop                    stop what was started, by process id

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BUILD:-$root/build}

fleet_start() {
  fleet_dir=$1
  fleet_base_port=$2
  fleet_pids=()
  fleet_list=()
  fleet_next=$((fleet_base_port + 200))
  fleet_names=()
  declare -gA fleet_pid fleet_port
  mkdir -p "$fleet_dir"
  local ports=() i
  for i in $(seq 0 12); do ports+=(-p $((fleet_base_port + i))); done
  "$build/tools/standin-platform" "${ports[@]}" ${FLEET_PLATFORM_FLAGS:-} 2>"$fleet_dir/platform.log" &
  fleet_pids+=($!)
}

fleet_start_target() { # NAME; also restarts a target that was killed
  local name=$1
  # shellcheck disable=SC2086
  "$build/tools/standin-target" ${fleet_command[$name]} 2>>"$fleet_dir/$name.log" &
  fleet_pid[$name]=$!
  fleet_pids+=($!)
}

fleet_add_targets() {
  local service=$1 n=$2 i name
  shift 2
  declare -gA fleet_command
  for i in $(seq "$n"); do
    name=$service-$i
    fleet_port[$name]=$fleet_next
    fleet_command[$name]="-p $fleet_next -n $name -s $service -j $fleet_dir/journal $*"
    fleet_next=$((fleet_next + 1))
    fleet_start_target "$name"
    fleet_list+=("$(fleet_entry target "$name" "${fleet_port[$name]}" "dc-$((i % 3 + 1))" "$service")")
  done
}

fleet_entry() { # ROLE NAME PORT DC [SERVICE] [STATE]
  printf '{"role":"%s","name":"%s","address":"127.0.0.1","port":%d,"data_centre":"%s","service":"%s","state":"%s"}' \
    "$1" "$2" "$3" "$4" "${5:-}" "${6:-live}"
}

fleet_publish_hosts() {
  local IFS=,
  curl -s -o /dev/null -d "{\"hosts\":[${fleet_list[*]}]}" "http://127.0.0.1:$fleet_base_port/hosts"
}

fleet_start_host() { # I
  local name=host-$1
  "$build/chicorywood" --settings "$fleet_dir/$name.toml" 2>>"$fleet_dir/$name.log" &
  fleet_pid[$name]=$!
  fleet_pids+=($!)
}

fleet_start_hosts() {
  local n=$1 workers=$2 i
  fleet_caller_addresses=()
  fleet_admin_addresses=()
  for i in $(seq "$n"); do
    cat >"$fleet_dir/host-$i.toml" <<X
[host]
name = "host-$i"
data_centre = "dc-$((i % 3 + 1))"
address = "127.0.0.1"
caller_port = $((fleet_base_port + 20 + i))
admin_port = $((fleet_base_port + 40 + i))
peer_port = $((fleet_base_port + 60 + i))
workers = $workers

[platform]
address = "127.0.0.1"
port = $((fleet_base_port + i))

[log]
level = "${FLEET_LOG:-decisions}"
X
    fleet_caller_addresses+=("127.0.0.1:$((fleet_base_port + 20 + i))")
    fleet_admin_addresses+=("127.0.0.1:$((fleet_base_port + 40 + i))")
    fleet_list+=("$(fleet_entry entry "host-$i" $((fleet_base_port + 60 + i)) "dc-$((i % 3 + 1))")")
  done
  for _ in $(seq 50); do
    fleet_publish_hosts && break
    sleep 0.1
  done
  for i in $(seq "$n"); do fleet_start_host "$i"; done
}

fleet_accept_configuration() {
  local IFS=,
  for _ in $(seq 50); do
    curl -s -o /dev/null "http://${fleet_admin_addresses[0]}/status" && break
    sleep 0.1
  done
  "$build/chicoryctl" accept --answers "$1" --platform "127.0.0.1:$fleet_base_port" \
    --reason "${2:-first}" --author demo --wait 10 --hosts "${fleet_admin_addresses[*]}"
}

fleet_status() { curl -s --max-time 2 "http://${fleet_admin_addresses[$1]}/status"; }

fleet_wait_serving() { # fails after 150 attempts
  local i a
  for _ in $(seq 150); do
    for a in "${!fleet_admin_addresses[@]}"; do
      [ "${fleet_skip:-}" = "$a" ] && continue
      fleet_status "$a" | python3 -c '
import json, sys
s = json.load(sys.stdin)
sys.exit(not (s["unserved_slots"] == 0 and s["table_version"] > 1 and s["lease_ms_left"] > 0
              and any(t["slots"] for t in s["targets"])))' 2>/dev/null || continue 2
    done
    return 0
  done
  echo "fleet: a host does not report all slots served after 150 attempts" >&2
  return 1
}

fleet_slot_count() { # HOST_INDEX TARGET: slots of TARGET as that host reports them
  fleet_status "$1" | python3 -c '
import json, sys
print(sum(t["slots"] for t in json.load(sys.stdin)["targets"] if t["name"] == sys.argv[1]))' "$2"
}

fleet_stop() {
  local pid
  for pid in "${fleet_pids[@]:-}"; do
    [ -n "$pid" ] && kill -CONT "$pid" 2>/dev/null && kill "$pid" 2>/dev/null
  done
  for pid in "${fleet_pids[@]:-}"; do
    [ -n "$pid" ] || continue
    for _ in $(seq 40); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -9 "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  fleet_pids=()
}
