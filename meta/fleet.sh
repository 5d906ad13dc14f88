# Starts a fleet of real processes with loopback stand-ins and runs scenarios on it.
# Sourced by bramleytrack.sh; expects $build and say().
#
# Every process is started here and killed here by its process id, so none is left running.

declare -A pids=()
workspace=
platform=
zones=()
instances=()

start() { # name, command...
    local name=$1
    shift
    "$@" >>"$workspace/$name.out" 2>>"$workspace/$name.log" &
    pids[$name]=$!
}

stop_fleet() {
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null || true
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [[ -n $workspace && -z ${BRAMLEYTRACK_KEEP:-} ]]; then
        rm -rf "$workspace"
    fi
}

ctl() {
    "$build/bramleyctl" --store "$platform" --instances "http://$platform/v1/instances" "$@"
}

register() { # instance, live|leaving|gone
    "$build/standin_fleet" register "$workspace" "$1" "$2"
}

platform_fault() { # query
    "$build/standin_fleet" fault "$workspace" "$1"
}

# Each instance reaches the store through its own link, so that it can be cut off separately.
declare -A store_links=()

open_store_link() { # instance
    start "store-link-$1" "$build/standin_link" --near "${store_links[$1]}" --far "$platform"
}

cut_store_link() { # instance
    kill -KILL "${pids[store-link-$1]}"
    wait "${pids[store-link-$1]}" 2>/dev/null || true
    unset "pids[store-link-$1]"
}

start_instance() { # name
    start "$1" "$build/bramleyd" --settings "$workspace/$1.json"
    register "$1" live
}

# A port that was free when the settings were written may be in use when its process starts. The process
# then exits at once, and the run would test a fleet that lacks a target. This was seen with several
# fleets running at the same time. All processes are therefore checked before any load, and an
# incomplete fleet is started again.
start_fleet() { # shape
    local attempt
    for attempt in 1 2 3; do
        launch_fleet "$1"
        if is_fleet_whole; then
            ctl --wait status
            return
        fi
        say "attempt $attempt: not every process started; trying other ports"
        stop_fleet
        pids=()
    done
    return 1
}

is_fleet_whole() {
    local name
    for name in "${!pids[@]}"; do
        kill -0 "${pids[$name]}" 2>/dev/null || return 1
    done
}

launch_fleet() { # shape
    local fabric name address admin slots connections cold
    workspace=$(mktemp -d)
    trap stop_fleet EXIT
    "$build/standin_fleet" create "examples/$1.json" "$workspace"
    read -r platform fabric <"$workspace/addresses.tsv"
    mapfile -t instances <"$workspace/instances.tsv"
    store_links=()
    while read -r name address; do
        store_links[$name]=$address
    done <"$workspace/store_links.tsv"
    start platform "$build/standin_platform" --address "$platform"
    sleep 0.2
    start fabric "$build/standin_fabric" --address "$fabric" --instances "http://$platform/v1/instances"
    while read -r name address admin slots connections cold; do
        start "$name" "$build/standin_target" --name "$name" --address "$address" --admin "$admin" \
            --slots "$slots" --connections "$connections" --cold-connections "$cold"
    done <"$workspace/targets.tsv"
    ctl apply "$workspace/text.json" >/dev/null || return 0
    for name in "${instances[@]}"; do
        open_store_link "$name"
    done
    sleep 0.2
    for name in "${instances[@]}"; do
        start_instance "$name" || return 0
    done
    sleep 1.5 # the platform's instance list shows changes after a delay
}

start_callers() { # seconds
    say "load for $1 s"
    start caller "$build/standin_caller" --fleet "$workspace" --seconds "$1" --members "$members"
}

kill_instance() { # name
    say "killing instance $1"
    kill -KILL "${pids[$1]}"
    wait "${pids[$1]}" 2>/dev/null || true
    sleep 1
    register "$1" gone
}

# SIGTERM starts a graceful shutdown: the process hands over its targets and exits.
restart_instance() { # name
    say "restarting instance $1"
    register "$1" leaving
    kill -TERM "${pids[$1]}"
    wait "${pids[$1]}" 2>/dev/null || true
    start_instance "$1"
}

# Operator changes and one crash of an instance under load: the main scenario.
scenario_changes() {
    start_callers 24
    sleep 5
    say "zone $zone out"
    ctl --wait zone out "$zone" >/dev/null
    sleep 6
    say "zone $zone back"
    ctl --wait zone in "$zone" >/dev/null
    sleep 2
    say "draining target $target"
    ctl target drain "$target" >/dev/null
    sleep 1
    say "retiring instance $retired"
    register "$retired" leaving
    ctl instance retire "$retired" >/dev/null
    sleep 3
    kill_instance "$killed"
}

# Two instances of one zone crash at the same time.
scenario_two_killed() {
    start_callers 16
    sleep 5
    say "killing $killed and $neighbour"
    kill -KILL "${pids[$killed]}" "${pids[$neighbour]}"
    sleep 1
    register "$killed" gone
    register "$neighbour" gone
}

# An instance is paused for longer than the failure-detection time of its peers, resumed, and paused
# again.
scenario_paused() {
    start_callers 22
    sleep 4
    for _ in 1 2; do
        say "pausing instance $killed for 5 s"
        kill -STOP "${pids[$killed]}"
        sleep 5
        kill -CONT "${pids[$killed]}"
        sleep 4
    done
}

# Every instance is restarted, one after the other.
scenario_rolling_restart() {
    start_callers $((6 + 13 * ${#instances[@]})) # a graceful shutdown takes over 10 s
    sleep 3
    for name in "${instances[@]}"; do
        restart_instance "$name"
        sleep 4
    done
}

# While a zone is taken out, the store is reachable only from that zone's instances, then from none.
scenario_store_away() {
    start_callers 24
    sleep 3
    for name in "${instances[@]}"; do
        if [[ $name != "$zone"-* ]]; then
            cut_store_link "$name"
        fi
    done
    say "zone $zone out, while only its own instances reach the store"
    ctl zone out "$zone" >/dev/null
    sleep 6
    say "store down for everyone"
    platform_fault "down=1"
    sleep 6
    say "store back"
    platform_fault "down=0"
    for name in "${instances[@]}"; do
        if [[ $name != "$zone"-* ]]; then
            open_store_link "$name"
        fi
    done
    ctl --wait zone in "$zone" >/dev/null
}

scenarios=(changes two_killed paused rolling_restart store_away)

run_fleet() { # options of the 'run' command
    local shape=association scenario=changes
    while (($# > 0)); do
        case $1 in
            --shape) shape=$2; shift 2 ;;
            --scenario) scenario=$2; shift 2 ;;
            *) say "unknown option $1"; exit 2 ;;
        esac
    done
    case $shape in
        association)
            zone=curepipe target=site-check-01 retired=port-louis-2 killed=mahebourg-3
            neighbour=mahebourg-1 members=colas,gamma,transinvest ;;
        collective)
            zone=akl-b target=crewboard-01 retired=akl-a-2 killed=akl-d-2
            neighbour=akl-d-1 members=totara,kauri,rimu ;;
        *) say "unknown shape $shape; there are association and collective"; exit 2 ;;
    esac
    if ! declare -F "scenario_$scenario" >/dev/null; then
        say "unknown scenario $scenario; there are ${scenarios[*]}"
        exit 2
    fi
    say "starting a fleet in the shape of $shape"
    start_fleet "$shape"
    sleep 3
    "scenario_$scenario"
    local status=0
    say "waiting for the callers to end"
    wait "${pids[caller]}" || status=$?
    cat "$workspace/caller.out"
    cat "$workspace/caller.log" >&2
    return "$status"
}
