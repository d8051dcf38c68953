#!/usr/bin/env bash
# Plays the points of the scale runs that have no file here yet: about 35 s each, the most wanted first.
#   MEASURE="COMMAND..." docs/measurements/capacity/run.sh [UNTIL]
# MEASURE: put before each run, to keep other work off the machine while it lasts. UNTIL: no run begins after this time
# of the day (HH:MM).
set -u
cd "$(dirname "$0")/../../.."
until=${1:-23:59}
scale() { # NAME SEED ARGUMENTS...
    local file=docs/measurements/capacity/$1-s$2.json
    [ -e "$file" ] && return
    [[ $(date +%H:%M) < $until ]] || return
    if ! ${MEASURE:-} java -jar lab/target/lab.jar scale --short --seed "$2" "${@:3}" --json "$file" \
            > "/tmp/$1-s$2.out" 2>&1; then
        echo "$1 seed $2 failed: $(grep -m1 -e Exception -e refused "/tmp/$1-s$2.out")"
    fi
}
for seed in 1 2 3 4 5; do
    for n in 25 50 100 200; do
        scale "star-n$n" "$seed" --gateways "$n"
    done
    scale star-n100-l1 "$seed" --gateways 100 --limits 1
    scale star-n100-l100 "$seed" --gateways 100 --limits 100
    scale star-n100-control-machine "$seed" --gateways 100 --fault control-machine
    scale star-n100-c0 "$seed" --gateways 100 --changes-per-second 0
    scale star-n300 "$seed" --gateways 300
    scale star-n100-restart-tenth "$seed" --gateways 100 --fault restart-tenth
    scale star-n100-return-zone "$seed" --gateways 100 --fault return-zone
    scale star-n100-m960 "$seed" --gateways 100 --engines 960
    scale star-n100-zone "$seed" --gateways 100 --fault zone
    scale star-n100-c3 "$seed" --gateways 100 --changes-per-second 3.6
    scale star-n400 "$seed" --gateways 400
done
