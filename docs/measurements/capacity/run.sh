#!/usr/bin/env bash
# Plays the points of the scale runs that have no file here yet, two at a time in a row: about 55 s a pair.
#   MEASURE="COMMAND..." docs/measurements/capacity/run.sh [UNTIL]
# MEASURE: put before each pair, to keep other work off the machine while it lasts. UNTIL: no pair begins after this time
# of the day (HH:MM).
set -u
cd "$(dirname "$0")/../../.."
until=${1:-23:59}
pair=()
play() { # the pair that is gathered
    if [ ${#pair[@]} -gt 0 ] && [[ $(date +%H:%M) < $until ]]; then
        ${MEASURE:-} bash -c "$(printf '%s\n' "${pair[@]}")"
    fi
    pair=()
}
scale() { # NAME SEED ARGUMENTS...
    local file=docs/measurements/capacity/$1-s$2.json out=/tmp/$1-s$2.out
    [ -e "$file" ] && return
    pair+=("java -jar lab/target/lab.jar scale --short --seconds 10 --seed $2 ${*:3} --json $file > $out 2>&1 \
        || echo \"$1 seed $2 failed: \$(grep -m1 -e Exception -e refused $out)\"")
    [ ${#pair[@]} -lt 2 ] || play
}
for seed in 1 2 3 4 5; do
    scale star-n100-l1 "$seed" --gateways 100 --limits 1
    scale star-n100-l100 "$seed" --gateways 100 --limits 100
    scale star-n100-control-machine "$seed" --gateways 100 --fault control-machine
    scale star-n100-restart-tenth "$seed" --gateways 100 --fault restart-tenth
    scale star-n150 "$seed" --gateways 150
    scale star-n100-c0 "$seed" --gateways 100 --changes-per-second 0
    scale star-n100 "$seed" --gateways 100
    scale star-n25 "$seed" --gateways 25
    scale star-n100-return-zone "$seed" --gateways 100 --fault return-zone
    scale star-n100-m400 "$seed" --gateways 100 --engines 400
    scale star-n50 "$seed" --gateways 50
    scale star-n100-zone "$seed" --gateways 100 --fault zone
    scale star-n100-c3 "$seed" --gateways 100 --changes-per-second 3.6
    scale star-n200 "$seed" --gateways 200
    scale star-n300 "$seed" --gateways 300
done
play
