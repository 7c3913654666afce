# Starts a small deployment on loopback addresses for the scripts in this folder, which source it: three control
# members, entry instances and leaves in the zones za, zb and zc. Settings follow deploy/settings.template; the bounds
# are those of klong-pair. Source it in the folder of the case.

caseFolder=$(pwd)
root=$(cd ../.. && pwd)
program=$root/target/citronplank_platform # the `run` words of both roles in deploy/system.toml
standins=$root/build-review/review_standins
record=$caseFolder/record.txt
TROUBLE=${TROUBLE:-1}
work=$(mktemp -d)
pids=()
: >"$record"

# Addresses of this run: 127.B.x.y, and ports that nobody listens on.
net=127.$((10 + $$ % 200))
port=$((20000 + ($$ % 200) * 40))
wire=(--id-header Request-Id --signature-header Server-Stamp --refused-header Not-Executed
    --leaf-header Expect-Instance --cold-field warmup_left_ms --leaf-path /-/instances/)
zones=(za zb zc)
controlPort=$((port + 10))
callerPort=$((port + 11))
readyPort=$((port + 12))
leafPort=$((port + 13))
controlIps=("$net.1.1" "$net.2.1" "$net.3.1")
control=("${controlIps[@]/%/:$controlPort}")
controlList=$(IFS=,; echo "${control[*]}")
entries=()
declare -A daemonPid leafPid

now() { date +%s%3N; }
note() { echo "$(now) $*" >>"$record"; }

cleanUp() {
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$work"
} 2>/dev/null
trap cleanUp EXIT
trap 'exit 2' INT TERM

# cannotRun REASON: ends the script, because the case could not be run.
cannotRun() {
    note "cannot run: $*"
    echo "cannot run: $*"
    exit 2
}

# startDaemon IP ZONE control|entry BOOTSTRAP: starts one process with the settings that the platform renders.
startDaemon() {
    local ip=$1 zone=$2 role=$3 bootstrap=$4 data="" caller="" ready="" controlAddress=""
    if [ "$role" = control ]; then
        data=$work/data-$ip
        mkdir -p "$data"
        controlAddress=$ip:$controlPort
    else
        caller=$ip:$callerPort
        ready=$ip:$readyPort
    fi
    cat >"$work/settings-$ip" <<SETTINGS
instance $ip
machine $role-$ip
zone $zone
region region
seeds $controlList
bootstrap $bootstrap
data-dir $data
caller-address $caller
ready-address $ready
control-address $controlAddress
first-internal-port $port
announcement-interval-ms 1200
tolerated-members 1
grace-time-s 6
extra-ratio 0.2
extra-burst 54
cold-factor 1.5
cold-allowance 5
SETTINGS
    CITRONPLANK_CONFIG=$work/settings-$ip "$program" >>"$work/log-$ip" 2>&1 &
    daemonPid[$ip]=$!
    pids+=($!)
}

# operatorCall METHOD CONTROL_ADDRESS PATH [BODY_FILE]: prints the status, 0 if none came within a second.
operatorCall() {
    local status
    status=$("$standins" call --method "$1" --to "$2" --path "$3" --body-file "${4:-}" --timeout-ms 1000)
    note "operator $1 $3 to=$2 status=$status"
    echo "$status"
}

# startLeaf ID SERVICE ZONE IP [OPTIONS]
startLeaf() {
    local id=$1 service=$2 zone=$3 ip=$4
    shift 4
    "$standins" leaf "${wire[@]}" --id "$id" --service "$service" --zone "$zone" --address "$ip:$leafPort" \
        --control "$controlList" --record "$record" "$@" &
    leafPid[$id]=$!
    pids+=($!)
}

# startLoad NAME OPTIONS: callers in the background; its pid is in loadPid.
startLoad() {
    local name=$1
    shift
    "$standins" load "${wire[@]}" --name "$name" --entries "$(IFS=,; echo "${entries[*]}")" --host h.example \
        --record "$record" "$@" &
    loadPid=$!
    pids+=($!)
}

# startDeployment ENTRIES: three control members and that many entry instances in the three zones.
startDeployment() {
    [ -x "$program" ] && [ -x "$standins" ] || cannotRun "the programs are not built"
    local i
    for i in 0 1 2; do startDaemon "${controlIps[$i]}" "${zones[$i]}" control true; done
    for ((i = 0; i < $1; ++i)); do
        local ip=$net.$((i % 3 + 1)).$((i / 3 + 10))
        startDaemon "$ip" "${zones[$((i % 3))]}" entry true
        entries+=("$ip:$callerPort")
    done
}

# putConfiguration FILE: sends a configuration to the control members in turn until one accepts it.
putConfiguration() {
    local i
    for i in $(seq 0 29); do
        [ "$(operatorCall PUT "${control[$((i % 3))]}" /-/config "$1")" = 200 ] && return
        sleep 0.3
    done
    cannotRun "no control member accepted the configuration"
}

# awaitReady: waits until all entry instances report that they are ready.
awaitReady() {
    local i entry
    for entry in "${entries[@]}"; do
        for i in $(seq 1 100); do
            [ "$("$standins" call --to "${entry%:*}:$readyPort" --path /-/ready)" = 200 ] && break
            [ "$i" = 100 ] && cannotRun "entry $entry is not ready"
            sleep 0.1
        done
    done
}
