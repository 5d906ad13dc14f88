#!/usr/bin/env bash
# Case 2: see claim.txt. Exit status: 1 if FLOW was broken, 0 if it held, 2 if the case couldn't run.
set -euo pipefail
case_folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
# shellcheck source=review/fleet.sh
source "$case_folder/../fleet.sh"

targets=""
for i in {1..30}; do
    targets+="i-a$i=label-sync=$i "
done
cut_s=1.5

begin_record
choose_ports
# Instance 1 reaches the store through a link of its own, which can be cut.
linked_store=127.0.73.2:$spare_port
# Seeds that are down: nothing listens at these addresses.
stale_seeds="\"127.0.76.1:$pull_port\",\"127.0.76.2:$pull_port\""

start_link() {
    start link "$standins/standin_link" --near "$linked_store" --far "$store"
}

start platform "$standins/standin_platform" --address "$store"
sleep 0.3
put op/config "{\"version\":1,\"routes\":[{\"name\":\"labels\",\"host\":\"$route_host\",\"prefix\":\"/443/\",\"kind\":\"unsafe\",\"timeout_ms\":5000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"label-sync\",\"max_attempts\":2}],\"services\":[{\"name\":\"label-sync\",\"health_path\":\"/health\",\"max_conns\":2000,\"cold_s\":2.0,\"cold_per_s\":40.0}],\"limits\":{\"idle_timeout_ms\":15000}}" ||
    cannot_run "no answer from the store"
for each in $targets; do
    IFS== read -r id service number <<<"$each"
    start_host "$id" "$service" "$number" --service-ms 10
done
start_link
sleep 0.5
for i in 1 2 3; do
    write_settings "$i" "$store" "$stale_seeds"
done
write_settings 1 "$linked_store" "$stale_seeds"
for i in 1 2 3; do
    start_instance "$i"
done
wait_until_ready 1 2 3
note "three instances are ready"
sleep 3

for i in 1 2 3; do
    describe_fleet "$workspace/fleet-$i.json" "443=label-sync" "$targets" "$i"
    start "caller-$i" "$standins/standin_flow_caller" --fleet "$workspace/fleet-$i.json" --seconds 16 --flows 120
done
note "three callers keep up to 120 flows open each, for 16 s"
sleep 7
if ((trouble)); then
    kill_process link
    note "instance 1 is partitioned from the store; its connections there are refused"
    sleep 0.3
    mv "$workspace/instance-1.out" "$workspace/instance-1-before.out"
    kill_process instance-1
    sleep 0.3
    start_instance 1
    note "instance 1 was killed and started again"
    sleep "$cut_s"
    is_ready 1 && note "instance 1 is ready during the cut" || note "instance 1 isn't ready"
    start_link
    note "the partition has ended"
    wait_until_ready 1
    note "instance 1 is ready"
fi
by_instances=0 by_hosts=0
verdict() { # words of the verdict, number of the caller
    sed -n "s/^open flows $1 .*(\\([0-9]*\\))\$/\\1/p" "$workspace/caller-$2.out"
}
for i in 1 2 3; do
    wait "${pids[caller-$i]}" || true # its verdicts are in the record
    unset "pids[caller-$i]"
    cat "$workspace/caller-$i.out" >>"$record"
    [[ -n $(verdict "that another target reset" "$i") ]] || cannot_run "no verdict of caller $i"
    ((by_hosts += $(verdict "that another target reset" "$i"))) || true
    ((by_instances += $(verdict "of live targets that the balancer reset" "$i"))) || true
done
for each in $targets; do
    IFS== read -r id service number <<<"$each"
    report=$(http GET "127.0.72.$number:$packet_port" /runs "" | tail -1)
    note "host $id: $(sed 's/"runs":{.*}/"runs":.../' <<<"$report"), requests run: $(grep -o '"[0-9]* unsafe":' <<<"$report" | wc -l)"
done
for i in 1 2 3; do
    [[ -d /proc/${pids[instance-$i]} ]] || cannot_run "instance $i has ended"
done
note "openings that instance 1 logged in the 100 ms after its first state: $(awk -F'[= ]' '/event=initial_state/ { split($2, t, "T"); first = t[2] } /event=opening / && first { split($2, t, "T"); if (substr(t[2], 1, 10) == substr(first, 1, 10)) ++n } END { print n + 0 }' "$workspace/instance-1.out")"
note "open flows of live hosts that a host which doesn't hold them has reset: $by_hosts"
note "open flows of live hosts that an instance has reset: $by_instances (instance 1 isn't in touch, so these don't count)"
if ((by_hosts > 0)); then
    broken
fi
note "held"
