# A small fleet on loopback for the scripts in review/4 to review/6: the daemon as the deploy file builds and
# starts it, the project's stand-ins for the platform's store, the hosts and the consumers with their routers.
# Sourced by run.sh, which sets $folder (its own folder) first.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
daemon=$root/target/bramleyd
standins=$root/target/standins
record=$folder/record.txt
zones=(north middle south)
hosts=8       # 1 to 6 serve "board", two in each zone; 7 and 8 serve "plans"
linked=       # if set, connections to the store and between instances pass through links, see silence_links
stale_ms=     # if set, stale reads of the store get its state of that many milliseconds ago
cold_per_s=10 # of both services
host_options=()
added_hosts=0 # started later by the script, with the numbers from 9 on; they serve "board"
declare -A pids=()
workspace=
started_at=

seconds_since_start() {
    local now
    now=$(date +%s%3N)
    printf '%d.%03d' $(((now - started_at) / 1000)) $(((now - started_at) % 1000))
}

note() { # text: one line of the record
    printf '%8s s  %s\n' "$(seconds_since_start)" "$*" >>"$record"
}

cannot_run() { # text
    note "the case couldn't run: $*"
    exit 2
}

start() { # name, command...
    local name=$1
    shift
    "$@" >>"$workspace/$name.out" 2>>"$workspace/$name.log" &
    pids[$name]=$!
}

end_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null
        kill -KILL "${pids[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
    if [[ -n $workspace && -z ${KEEP:-} ]]; then
        rm -rf "$workspace"
    elif [[ -n $workspace ]]; then
        echo "kept: $workspace" >&2
    fi
}

http() { # method, ip:port, path[, body]: prints the answer
    local body=${4:-} answer=
    exec 9<>"/dev/tcp/${2%:*}/${2#*:}" || return 1
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
        "$1" "$3" "$2" "${#body}" "$body" >&9
    answer=$(cat <&9)
    exec 9>&-
    printf '%s' "$answer"
}

put() { # key, value: a write of an operator, a host or another writer, who don't go through the system
    http PUT "$store" "/put?key=$1" "$2" >/dev/null
}

zone_of() { # number
    echo "${zones[$((($1 - 1) % 3))]}"
}

declare -A id_of=() # of hosts with another id than i-a and their number
host_id() { # number of a host
    echo "${id_of[$1]:-i-a$1}"
}

service_of() { # number of a host
    (($1 == 7 || $1 == 8)) && echo plans || echo board
}

configure() { # version, further routes
    put op/config "{\"version\":$1,\"routes\":[
{\"name\":\"a\",\"host\":\"127.0.5.1\",\"prefix\":\"/443/\",\"kind\":\"unsafe\",\"service\":\"board\",\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":1,\"max_attempts\":2},
{\"name\":\"b\",\"host\":\"127.0.5.1\",\"prefix\":\"/80/\",\"kind\":\"unsafe\",\"service\":\"plans\",\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":1,\"max_attempts\":2}${2:-}],
\"services\":[{\"name\":\"board\",\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":2.0,\"cold_per_s\":$cold_per_s},
{\"name\":\"plans\",\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false,\"cold_s\":2.0,\"cold_per_s\":$cold_per_s}],
\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
}

write_settings() {
    local i
    mapfile -t ports < <("$standins/standin_fleet" --count 8 ports)
    ((${#ports[@]} == 8)) || cannot_run "no free ports"
    packet_port=${ports[0]} readiness_port=${ports[1]} metrics_port=${ports[2]}
    peer_port=${ports[3]} pull_port=${ports[4]}
    store=127.0.3.1:${ports[5]}
    local instance_list="" host_list="" store_address=$store pull_network=127.0.1 seed_port=$pull_port link_setting=""
    if [[ $linked ]]; then
        pull_network=127.0.6 seed_port=${ports[7]}
    fi
    if [[ $linked || $stale_ms ]]; then
        store_address=127.0.3.2:${ports[6]}
    fi
    for i in 1 2 3 4 5 6; do
        if [[ $linked ]]; then
            link_setting="\"advertised_pull_address\": \"127.0.6.$i:$seed_port\", "
        fi
        # The template deploy/settings.json, filled in.
        cat >"$workspace/front-$i.json" <<JSON
{ "name": "front-$i", "zone": "$(zone_of $i)", "zones": {"north": "r", "middle": "r", "south": "r"},
  "packet_address": "127.0.1.$i:$packet_port", "readiness_address": "127.0.1.$i:$readiness_port",
  "metrics_address": "127.0.1.$i:$metrics_port", "peer_address": "127.0.1.$i:$peer_port",
  "pull_address": "127.0.1.$i:$pull_port", "seeds": ["$pull_network.1:$seed_port", "$pull_network.2:$seed_port"],
  $link_setting"store_address": "$store_address", "fleet_passphrase": "replace this passphrase of the fleet",
  "link_mbps": 1000.0, "stop_grace_s": 6, "flow_lifetime_s": 60,
  "admission": { "capacity_shares": true, "lower_priority_minimum": 0.1, "opening_queue_entries": 1000,
    "opening_wait_fraction": 0.2, "split_overflow": true, "zone_balance": true } }
JSON
        instance_list+="${instance_list:+,}{\"packet_address\":\"127.0.1.$i:$packet_port\",\"readiness_address\":\"127.0.1.$i:$readiness_port\"}"
    done
    for ((i = 1; i <= hosts + added_hosts; ++i)); do
        host_list+="${host_list:+,}{\"id\":\"$(host_id "$i")\",\"service\":\"$(service_of "$i")\",\"address\":\"127.0.2.$i:$packet_port\"}"
    done
    cat >"$workspace/fleet.json" <<JSON
{ "caller_address": "127.0.4.1:$packet_port",
  "routes": [{"address": "127.0.5.1:443", "service": "board"}, {"address": "127.0.5.1:80", "service": "plans"}],
  "targets": [$host_list], "instances": [$instance_list] }
JSON
}

start_links() {
    local i
    start link-store "$standins/silent_link" --near "127.0.3.2:${ports[6]}" --far "$store"
    for i in 1 2 3 4 5 6; do
        start "link-$i" "$standins/silent_link" --near "127.0.6.$i:${ports[7]}" --far "127.0.1.$i:$pull_port"
    done
}

silence_links() {
    local i
    for i in store 1 2 3 4 5 6; do
        kill -USR1 "${pids[link-$i]}"
    done
}

start_instance() { # number
    start "front-$1" env BRAMLEYTRACK_BOOT="$workspace/front-$1.json" "$daemon" --steer
}

start_host() { # number, further options
    local i=$1
    shift
    start "$(host_id "$i")" "$standins/standin_flow_target" --id "$(host_id "$i")" \
        --service "$(service_of "$i")" --zone "$(zone_of "$i")" --address "127.0.2.$i:$packet_port" \
        --store "$store" --caller-port "$packet_port" "$@"
}

start_fleet() {
    local i
    : >"$record"
    started_at=$(date +%s%3N)
    [[ -x $daemon && -x $standins/standin_flow_caller ]] || cannot_run "build first: deploy file, review/build-2.sh"
    workspace=$(mktemp -d)
    trap end_all EXIT
    write_settings
    start store "$standins/standin_platform" --address "$store"
    if [[ $linked ]]; then
        start_links
    fi
    if [[ $stale_ms ]]; then
        start link-store "$standins/stale_store" --near "127.0.3.2:${ports[6]}" --far "$store" --behind-ms "$stale_ms"
    fi
    sleep 0.3
    configure 1
    for ((i = 1; i <= hosts; ++i)); do
        start_host "$i" "${host_options[@]}"
    done
    for i in 1 2 3 4 5 6; do
        start_instance "$i"
    done
    sleep 3
    for i in "${!pids[@]}"; do
        kill -0 "${pids[$i]}" 2>/dev/null || cannot_run "$i has ended"
    done
    note "started: six instances, $hosts hosts, the store"
}

start_consumers() { # seconds[, flows open at a time]
    start consumers "$standins/standin_flow_caller" --fleet "$workspace/fleet.json" --seconds "$1" --flows "${2:-90}"
    note "consumers started, for $1 s, with ${2:-90} flows"
}

opened_at_host() { # number: flows whose opening packet the host took
    local answer
    answer=$(http GET "127.0.2.$1:$packet_port" /runs) || return 1
    [[ $answer =~ \"opened\":([0-9]+) ]] && echo "${BASH_REMATCH[1]}"
}

cold_openings() { # number of a host: the most opening packets that it took within one second while it was cold
    local answer
    answer=$(http GET "127.0.2.$1:$packet_port" /runs) || return 1
    [[ $answer =~ \"most_cold_openings\":([0-9]+) ]] && echo "${BASH_REMATCH[1]}"
}

metric() { # instance, name
    http GET "127.0.1.$1:$metrics_port" /metrics | sed -n -E "s/^$2 ([0-9.]+).*/\\1/p" | head -1
}

put_file() { # key, file
    exec 9<>"/dev/tcp/${store%:*}/${store#*:}" || return 1
    printf 'PUT /put?key=%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n' \
        "$1" "$store" "$(stat -c %s "$2")" >&9
    cat "$2" >&9
    cat <&9 >/dev/null
    exec 9>&-
}
