# Functions that run a whole deployment on loopback: the platform stand-in, and for each upstream of a table its
# stand-in and its node. To be sourced by scripts that set `root`; every process started is ended by its id.
#
# <network> is the first half of a loopback address, 127.77 unless EGRETPATH_NETWORK says another one, so that several
# deployments can run side by side. Each pair of an upstream and its node has a loopback address of its own: <network>.<zone>.<place>, with the node's
# listeners at ports 8080 (callers), 8081 (peers) and 8082 (operators) and the upstream at 9000.

network=${EGRETPATH_NETWORK:-127.77}
platform_address=$network.0.1:8500
pids=""

# deployment_prepare TABLE DIR: settings, list of VMs and list of nodes for the upstream rows of the table.
deployment_prepare() {
    table=$1
    dir=$2
    mkdir -p "$dir"
    : >"$dir/upstreams"
    : >"$dir/nodes"
    echo 1 >"$dir/vms"
    awk -F, 'NR > 1 && $1 != "" && $2 != "" && $3 != "" { print $1, $2, $3, $5 }' "$table" >"$dir/rows"
    regions=$(awk '{ print $2 }' "$dir/rows" | awk '!seen[$0]++')
    seeds=""
    while read -r service region upstream slots; do
        region_index=$(echo "$regions" | grep -nx "$region" | cut -d: -f1)
        number=${upstream##*-}
        zone_index=$(((region_index - 1) * 2 + 2 - number % 2))
        zone=$region-$([ $((number % 2)) -eq 1 ] && echo a || echo b)
        place=$(($(grep -c " $zone " "$dir/upstreams" || true) + 1))
        address=$network.$zone_index.$place
        echo "$upstream $service $region $zone $address $slots " >>"$dir/upstreams"
        echo "$upstream,$service,$region,$zone,$address:8081,live" >>"$dir/vms"
        echo "$address:8082" >>"$dir/nodes"
        [ "$place" -eq 1 ] && seeds="$seeds\"$address:8081\", "
    done <"$dir/rows"
    while read -r upstream service region zone address slots; do
        cat >"$dir/$upstream.toml" <<END
[node]
upstream = "$upstream"
service = "$service"
region = "$region"
zone = "$zone"

[listen]
callers = "$address:8080"
peers = "$address:8081"
operators = "$address:8082"

[upstream]
address = "$address:9000"

[platform]
address = "$platform_address"

[peers]
seeds = [${seeds%, }]

[routing]
strategy = "${strategy:-egretpath}"

[log]
decisions_per_second = ${decisions_per_second:-200}
END
    done <"$dir/upstreams"
}

# start_process LOG COMMAND...: sets `pid`.
start_process() {
    log=$1
    shift
    "$@" >>"$log" 2>&1 &
    pid=$!
    pids="$pids $pid"
}

# forget_process PID: it has ended and been waited for; its number may belong to another process from now on.
forget_process() {
    left=""
    for other in $pids; do
        [ "$other" = "$1" ] || left="$left $other"
    done
    pids=$left
}

# stop_process PID SIGNAL: ends a process that start_process started and waits until it is gone.
stop_process() {
    kill "-$2" "$1" 2>/dev/null || true
    wait "$1" 2>/dev/null || true
    forget_process "$1"
}

put_value() {
    curl -sf -o /dev/null -X PUT --data-binary "@$2" "http://$platform_address/v1/kv/$1"
}

# deployment_start_platform DIR
deployment_start_platform() {
    start_process "$1/platform.log" "$root/build/bin/standin-platform" --listen "$platform_address"
    for _ in $(seq 100); do
        curl -s -o /dev/null "http://$platform_address/control/counts" && break
        sleep 0.1
    done
    put_value egretpath/vms "$1/vms"
}

# deployment_publish DIR TABLE NUMBER
deployment_publish() {
    rm -rf "$1/plan"
    "$root/build/bin/egretpath" publish-plan "$2" --number "$3" --output "$1/plan" >/dev/null
    while read -r action key file _; do
        if [ "$action" = put ]; then
            put_value "$key" "$1/plan/$file"
        fi
    done <"$1/plan/plan"
}

# deployment_start_upstream DIR UPSTREAM [options of standin-upstream]
deployment_start_upstream() {
    upstream=$2
    line=$(grep "^$upstream " "$1/upstreams")
    address=$(echo "$line" | cut -d' ' -f5)
    slots=$(echo "$line" | cut -d' ' -f6)
    dir=$1
    shift 2
    start_process "$dir/$upstream-upstream.log" "$root/build/bin/standin-upstream" --listen "$address:9000" \
        --name "$upstream" --slots "$slots" --queue "$slots" --history "$dir/$upstream.history" "$@"
    echo "$pid" >"$dir/$upstream-upstream.pid"
}

# deployment_start_node DIR UPSTREAM
deployment_start_node() {
    start_process "$1/$2.log" "$root/build/bin/egretpath-node" --settings "$1/$2.toml"
    echo "$pid" >"$1/$2.pid"
}

# deployment_start DIR TABLE [options of standin-upstream]: all of it, with the table in force as number 1.
deployment_start() {
    dir=$1
    deployment_start_platform "$dir"
    deployment_publish "$dir" "$2" 1
    shift 2
    for upstream in $(cut -d' ' -f1 "$dir/upstreams"); do
        deployment_start_upstream "$dir" "$upstream" "$@"
        deployment_start_node "$dir" "$upstream"
    done
    "$root/build/bin/egretpath" wait --number 1 --timeout-ms "${start_timeout_ms:-15000}" --nodes "$dir/nodes"
}

# endpoints DIR SERVICE PORT: the addresses of a service's upstreams with this port, in one line.
endpoints() {
    awk -v service="$2" -v port="$3" '$2 == service { printf "%s:%s ", $5, port }' "$1/upstreams"
}

deployment_stop() {
    for pid in $pids; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in $pids; do
        wait "$pid" 2>/dev/null || true
    done
    pids=""
}
