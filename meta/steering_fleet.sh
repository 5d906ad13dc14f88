# Starts a fleet that routes by token as real processes on loopback: the daemon with the adapter for the
# users' platform, and stand-ins for its store, routers, targets and callers. A token is a 32-bit field in
# a flow's packets that names the flow's target; callers return it with each packet.
#
# Sourced by bramleytrack.sh, which sets $build and defines say(), after fleet.sh, whose start(),
# stop_fleet(), is_fleet_whole(), pids, workspace and instances it uses.
#
# Every process has its own loopback address, since the platform uses the same ports on all machines.

steering_zones=(north middle south)
steering_store=127.0.3.1
steering_callers=127.0.4.1
store=

free_ports() { # count; prints ports free for UDP and TCP on 127.0.0.1, to use on all loopback addresses here
    "$build/standin_fleet" --count "$1" ports
}

write_steering_fleet() {
    local ports i zone name
    mapfile -t ports < <(free_ports 6)
    packet_port=${ports[0]} readiness_port=${ports[1]} metrics_port=${ports[2]}
    peer_port=${ports[3]} pull_port=${ports[4]} store_port=${ports[5]}
    store="$steering_store:$store_port"
    instances=() targets=()
    local instance_list="" target_list=""
    for i in 1 2 3 4 5 6; do
        zone=${steering_zones[$(((i - 1) % 3))]}
        name="$zone-$(((i + 2) / 3))"
        instances+=("$name")
        cat >"$workspace/$name.json" <<JSON
{ "name": "$name", "zone": "$zone", "zones": {"north": "r", "middle": "r", "south": "r"},
  "packet_address": "127.0.1.$i:$packet_port", "readiness_address": "127.0.1.$i:$readiness_port",
  "metrics_address": "127.0.1.$i:$metrics_port", "peer_address": "127.0.1.$i:$peer_port",
  "pull_address": "127.0.1.$i:$pull_port", "seeds": ["127.0.1.1:$pull_port", "127.0.1.2:$pull_port"],
  "store_address": "$store", "fleet_passphrase": "stand-in fleet", "stop_grace_s": 6,
  "flow_lifetime_s": 60,
  "admission": { "capacity_shares": true, "split_overflow": true, "zone_balance": true } }
JSON
        instance_list+="${instance_list:+,}{\"packet_address\":\"127.0.1.$i:$packet_port\",\"readiness_address\":\"127.0.1.$i:$readiness_port\"}"
    done
    for i in 1 2 3 4 5 6 7 8; do
        targets+=("i-a$i")
        target_list+="${target_list:+,}{\"id\":\"i-a$i\",\"service\":\"$(service_of "$i")\",\"address\":\"127.0.2.$i:$packet_port\"}"
    done
    cat >"$workspace/fleet.json" <<JSON
{ "caller_address": "$steering_callers:$packet_port",
  "routes": [{"address": "127.0.5.1:443", "service": "board"}, {"address": "127.0.5.1:80", "service": "plans"}],
  "targets": [$target_list], "instances": [$instance_list] }
JSON
}

service_of() { # number of a target
    (($1 <= 6)) && echo board || echo plans
}

put() { # key, value
    curl_put "$store" "/put?key=$1" "$2"
}

curl_put() { # ip:port, path, body
    local host=${1%:*} port=${1#*:}
    exec 9<>"/dev/tcp/$host/$port"
    printf 'PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
        "$2" "$1" "${#3}" "$3" >&9
    cat <&9 >/dev/null
    exec 9>&-
}

configure_steering() { # version, extra routes
    put op/config "{\"version\":$1,\"routes\":[
{\"name\":\"a\",\"host\":\"127.0.5.1\",\"prefix\":\"/443/\",\"kind\":\"unsafe\",\"service\":\"board\",\"target_latency_ms\":500,\"priority\":1},
{\"name\":\"b\",\"host\":\"127.0.5.1\",\"prefix\":\"/80/\",\"kind\":\"unsafe\",\"service\":\"plans\",\"target_latency_ms\":500,\"priority\":1}$2],
\"services\":[{\"name\":\"board\"},{\"name\":\"plans\"}],\"limits\":{}}"
}

start_steering_instance() { # name
    start "$1" "$build/bramleyd" --steer --settings "$workspace/$1.json"
}

start_steering_fleet() {
    local i
    workspace=$(mktemp -d)
    trap stop_fleet EXIT
    write_steering_fleet
    start platform "$build/standin_platform" --address "$store"
    sleep 0.3
    configure_steering 1 ""
    for i in 1 2 3 4 5 6 7 8; do
        start "i-a$i" "$build/standin_flow_target" --id "i-a$i" --service "$(service_of "$i")" \
            --zone "${steering_zones[$((i % 3))]}" --address "127.0.2.$i:$packet_port" \
            --store "$store" --caller-port "$packet_port"
    done
    for i in "${instances[@]}"; do
        start_steering_instance "$i"
    done
    sleep 1.5
    is_fleet_whole # of fleet.sh: fails if one of the processes in pids has exited
}

# Common changes and faults: a new route, a drain, crashes of a target and of an instance, a graceful
# restart, a store outage during which an instance starts, and a zone that is taken out.
# In the messages, a store that is away answers 503 (down=1), and a target that falls silent is killed
# and its entry removed.
steering_scenario() {
    sleep 3
    say "a route is added"
    configure_steering 2 ',{"name":"c","host":"127.0.5.1","prefix":"/81/","kind":"safe","service":"plans"}'
    sleep 1
    say "target i-a1 drains"
    curl_put "127.0.2.1:$packet_port" /drain ""
    sleep 3
    say "instance ${instances[1]} is killed"
    kill -KILL "${pids[${instances[1]}]}"
    sleep 2
    start_steering_instance "${instances[1]}"
    say "instance ${instances[2]} is told to stop and starts again"
    kill -TERM "${pids[${instances[2]}]}"
    wait "${pids[${instances[2]}]}" 2>/dev/null || true
    start_steering_instance "${instances[2]}"
    sleep 1
    say "the store is away for 5 s; instance ${instances[3]} is killed and starts meanwhile"
    curl_put "$store" "/fault?down=1" ""
    sleep 1
    kill -KILL "${pids[${instances[3]}]}"
    sleep 0.5
    start_steering_instance "${instances[3]}"
    sleep 3.5
    curl_put "$store" "/fault?down=0" ""
    sleep 1
    say "zone ${steering_zones[0]} is taken out"
    put "op/evacuate/${steering_zones[0]}" "{}"
    sleep 4
    say "zone ${steering_zones[0]} comes back"
    curl_put "$store" "/remove?key=op/evacuate/${steering_zones[0]}" ""
    sleep 1
    say "target i-a2 falls silent"
    kill -KILL "${pids[i-a2]}"
    sleep 1
    curl_put "$store" "/remove?key=servers/i-a2" ""
}

# Shows the state of all instances with the tool that operators use.
show_instances() {
    local i addresses=()
    for i in 1 2 3 4 5 6; do
        addresses+=("127.0.1.$i:$metrics_port")
    done
    "$build/bramleyctl" --timeout-ms 1000 overview "${addresses[@]}" >&2 || say "instances differ"
}

run_steering_fleet() {
    say "starting a fleet that routes by token"
    start_steering_fleet
    start caller "$build/standin_flow_caller" --fleet "$workspace/fleet.json" --seconds 34 --ended i-a2
    steering_scenario
    local status=0
    show_instances
    say "waiting for the callers to end"
    wait "${pids[caller]}" || status=$?
    cat "$workspace/caller.out"
    cat "$workspace/caller.log" >&2
    return "$status"
}
