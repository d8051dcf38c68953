#!/bin/sh
# The measurement of retry storms, from the repository's root after `make build`: five seeds, damped and not damped side by
# side, each audited from its events; then the other scripts with one seed; then the table and the charts beside this file.
set -eu
runs=${1:-logs/retry-storms}
mkdir -p "$runs"
one() { # SCRIPT SEED DAMPING
    java -jar lab/target/lab.jar storm --script "$1" --seed "$2" --damping "$3" --json "$runs/$1-$2-$3.json" \
        --events "$runs/$1-$2-$3.jsonl" > "$runs/$1-$2-$3.txt" 2>&1 || echo "$1 $2 $3 ended with $?"
    java -jar lab/target/lab.jar audit "$runs/$1-$2-$3.jsonl" --against "$runs/$1-$2-$3.json" \
        > "$runs/$1-$2-$3.audit" || echo "$1 $2 $3: the audit found a fault"
}
both() { # SCRIPT SEED
    one "$1" "$2" on &
    one "$1" "$2" off &
    wait
}
for seed in 1 2 3 4 5; do both outage $seed; done
for script in staggered second gateway stale; do both $script 1; done
for seed in 1 2 3; do both calm $seed; done
java -jar lab/target/lab.jar report --out docs/measurements/retry-storms "$runs"/*.json
