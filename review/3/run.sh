#!/usr/bin/env bash
# EVAC: a control member is frozen for 3.5 s while an evacuation is withdrawn and ordered again. With TROUBLE=0 it runs.
cd "$(dirname "$0")"
source ../common.sh

startDeployment 3
putConfiguration "$caseFolder/configuration.json"
for i in 1 2 3; do startLeaf "leaf-$i" reader "${zones[$((i - 1))]}" "$net.$i.50"; done
sleep 3
awaitReady
startLoad q --path /read/ --rate 40 --for-ms 24000
sleep 1

# order METHOD MEMBER...: calls the members in turn until one acknowledges, as an operator does.
order() {
    local method=$1 member
    shift
    for member in "$@"; do
        [ "$(operatorCall "$method" "${control[$member]}" /-/evacuation/zb)" = 200 ] && return
    done
    cannotRun "no control member acknowledged $method"
}
frozen=${daemonPid[${controlIps[2]}]}
order POST 0 1
sleep 2
[ "$TROUBLE" = 0 ] || kill -STOP "$frozen"
note "freeze"
frozenAt=$(now)
order DELETE 2 0 1
sleep 0.5
order POST 0 1
ackedAt=$(now)
sleep "$(awk -v ms=$((frozenAt + 3500 - $(now))) 'BEGIN { print (ms > 0 ? ms / 1000 : 0) }')"
[ "$TROUBLE" = 0 ] || kill -CONT "$frozen"
note "thaw"
thawedAt=$(now)
wait "$loadPid"

# Judged from evacuate_ms (5,000) after the acknowledgement and contact_ms (4,000) after the thaw.
from=$((ackedAt + 5000 > thawedAt + 4000 ? ackedAt + 5000 : thawedAt + 4000))
awk -v from="$from" '
    $2 == "answered" && $4 == "status=200" { ++served }
    $2 == "arrived" && $3 == "leaf-2" && $1 > from { ++late; last = $1 - from }
    END {
        printf "served %d; EVAC: requests at the evacuated leaf after the bound: %d, the last %d ms after it\n",
            served, late, last
        if (served < 500) exit 2
        exit late > 0
    }' "$record"
