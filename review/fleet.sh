# Sourced by the scripts of the cases. Starts a small deployment on loopback: one zone with three
# instances of the daemon, run by the command of deploy/system.toml with settings as
# deploy/settings.json gives them, and the project's stand-ins for the platform's store and hosts.
#
# Every process has its own loopback address, since the platform uses the same ports on all machines.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
standins=$root/build-review
daemon=$root/target/bramleyd
record=$case_folder/record.txt
workspace=$(mktemp -d)
zone=pest-b
store_host=127.0.73.1
route_host=127.0.75.1
trouble=${TROUBLE:-1}
is_broken=no
declare -A pids=()

note() { # text; a line of the record, with seconds since the start
    printf '%8.3f %s\n' "$(awk "BEGIN { print $(date +%s.%N) - $started_at }")" "$*" | tee -a "$record"
}

cannot_run() { # reason
    note "could not run: $*"
    exit 2
}

# Ends the case: the rule was broken.
broken() {
    note "BROKEN"
    is_broken=yes
    exit 1
}

# Any other failure of a command means that the case couldn't run, not that a rule was broken.
end_processes() {
    local status=$? pid
    trap - EXIT
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$workspace"
    if ((status != 0)) && [[ $is_broken != yes ]]; then
        status=2
    fi
    exit "$status"
}

begin_record() {
    started_at=$(date +%s.%N)
    : >"$record"
    trap end_processes EXIT
    [[ -x $daemon ]] || cannot_run "target/bramleyd is not built"
    [[ -x $standins/standin_platform ]] || cannot_run "review/build.sh has not been run"
    note "started, TROUBLE=$trouble"
}

start() { # name, command...
    local name=$1
    shift
    "$@" >"$workspace/$name.out" 2>"$workspace/$name.log" &
    pids[$name]=$!
}

kill_process() { # name
    kill -KILL "${pids[$1]}"
    wait "${pids[$1]}" 2>/dev/null || true
    unset "pids[$1]"
}

choose_ports() {
    local ports
    mapfile -t ports < <("$standins/standin_fleet" --count 7 ports)
    ((${#ports[@]} == 7)) || cannot_run "no free ports"
    packet_port=${ports[0]} readiness_port=${ports[1]} metrics_port=${ports[2]}
    peer_port=${ports[3]} pull_port=${ports[4]} store_port=${ports[5]} spare_port=${ports[6]}
    store=$store_host:$store_port
}

write_settings() { # number, store address, seeds
    cat >"$workspace/settings-$1.json" <<JSON
{ "name": "front-$zone-$1", "zone": "$zone", "zones": {"$zone": "hu-central"},
  "packet_address": "127.0.71.$1:$packet_port", "readiness_address": "127.0.71.$1:$readiness_port",
  "metrics_address": "127.0.71.$1:$metrics_port", "peer_address": "127.0.71.$1:$peer_port",
  "pull_address": "127.0.71.$1:$pull_port", "seeds": [$3],
  "store_address": "$2", "fleet_passphrase": "replace this passphrase of the fleet",
  "link_mbps": 1000.0, "stop_grace_s": 6, "flow_lifetime_s": 60,
  "admission": { "capacity_shares": true, "lower_priority_minimum": 0.1,
    "opening_queue_entries": 1000, "opening_wait_fraction": 0.2, "split_overflow": true,
    "zone_balance": true } }
JSON
}

start_instance() { # number
    BRAMLEYTRACK_BOOT="$workspace/settings-$1.json" start "instance-$1" "$daemon" --steer
}

start_host() { # id, service, number, further options...
    local id=$1 service=$2 number=$3
    shift 3
    start "$id" "$standins/standin_flow_target" --id "$id" --service "$service" --zone "$zone" \
        --address "127.0.72.$number:$packet_port" --store "$store" --caller-port "$packet_port" \
        --slots 4 "$@"
}

# Sends one request; prints the status line and the body.
http() { # method, ip:port, path, body
    local host=${2%:*} port=${2#*:}
    exec 9<>"/dev/tcp/$host/$port" || return 1
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n' \
        "$1" "$3" "$2" "${#4}" >&9
    [[ -z $4 ]] || printf '%s' "$4" >&9
    tr -d '\r' <&9
    exec 9>&-
}

put() { # key, value; true if the store acknowledged it
    http PUT "$store" "/put?key=$1" "$2" | head -1 | grep -q ' 200 '
}

is_ready() { # number
    http GET "127.0.71.$1:$readiness_port" /-/readiness "" 2>/dev/null | head -1 | grep -q ' 200 '
}

wait_until_ready() { # number...
    local number attempt
    for number in "$@"; do
        for attempt in {1..100}; do
            is_ready "$number" && break
            ((attempt < 100)) || cannot_run "instance $number isn't ready after 10 s"
            sleep 0.1
        done
    done
}

# Writes the description that standin_flow_caller reads. A target is ID=SERVICE=NUMBER.
describe_fleet() { # file, "PORT=SERVICE..." of routes, "ID=SERVICE=NUMBER..." of targets, number of the caller
    local routes="" targets="" instances="" each i id service number
    for each in $2; do
        routes+="${routes:+,}{\"address\":\"$route_host:${each%=*}\",\"service\":\"${each#*=}\"}"
    done
    for each in $3; do
        IFS== read -r id service number <<<"$each"
        targets+="${targets:+,}{\"id\":\"$id\",\"service\":\"$service\",\"address\":\"127.0.72.$number:$packet_port\"}"
    done
    for i in 1 2 3; do
        instances+="${instances:+,}{\"packet_address\":\"127.0.71.$i:$packet_port\",\"readiness_address\":\"127.0.71.$i:$readiness_port\"}"
    done
    cat >"$1" <<JSON
{ "caller_address": "127.0.74.$4:$packet_port", "routes": [$routes], "targets": [$targets],
  "instances": [$instances] }
JSON
}
