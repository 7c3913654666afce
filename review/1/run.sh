#!/usr/bin/env bash
# REFUSED, TWICE: a busy leaf sends a second copy of some of its refusals, late. With TROUBLE=0 it sends none.
cd "$(dirname "$0")"
source ../common.sh

# Seven entry instances, as on klong-pair, and one leaf for each of two services. One of the two leaves sends copies: of
# 1 in 25 of its answers, for 5 s in each 10 s.
startDeployment 7
putConfiguration "$caseFolder/configuration.json"
startLeaf leaf-1 inviter za "$net.1.50" --slots 2 --queue 2 --work-ms 60 --copy-one-in $((TROUBLE * 25))
startLeaf leaf-2 reader zb "$net.2.50"
sleep 3
awaitReady
startLoad r --path /read/ --rate 10 --for-ms 50000
startLoad q --method POST --path /invite/ --rate 30 --for-ms 50000 --deadline-ms 10000 --seed "${SEED:-$$}"
wait "$loadPid"

awk '
    $2 == "run" && $5 == "POST" { ++runs[$4] }
    $2 == "copy" { ++copies }
    $2 == "refused" { ++refused }
    $2 == "sent" && $3 ~ /^q/ { ++sent }
    $2 == "answered" && $3 ~ /^q/ { ++answered; status[$3] = $4 }
    END {
        for (id in runs) {
            if (runs[id] > 1) { ++twice; print "TWICE: " id " ran " runs[id] " times, answered " status[id] }
            if (status[id] == "status=503" || status[id] == "status=429") {
                ++said; print "REFUSED: " id " was answered " status[id] " and ran " runs[id] " times"
            }
        }
        printf "sent %d, answered %d, refused by the leaf %d, copies %d, ran twice %d, refused though run %d\n",
            sent, answered, refused, copies, twice, said
        if (sent < 1000 || answered < sent || refused < 25) exit 2
        exit twice + said > 0
    }' "$record"
