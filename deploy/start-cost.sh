#!/bin/sh
# Measures the CPU time in ms from the start of a gateway until it listens: minimum, median and maximum over N starts
# (default 10) with the `run` command of deploy/balancer.toml. Arguments after N are passed to `serve`.
# Build first: mvn -q -DskipTests -pl gateway -am package && sh deploy/archive.sh
set -eu
cd "$(dirname "$0")/.."
n=${1:-10}
[ $# -gt 0 ] && shift
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
sed 's/"listen": *"[^"]*"/"listen": "127.0.0.1:0"/' examples/config.json > "$work/config.json"
run=$(sed -n 's/^run = "exec \(.*\)"$/\1/p' deploy/balancer.toml)
tick=$(getconf CLK_TCK)
i=0
while [ $i -lt "$n" ]; do
    i=$((i + 1))
    BALANCER_CONFIG="$work/config.json" $run "$@" > "$work/log" 2>&1 &
    pid=$!
    until grep -q 'listens on' "$work/log"; do
        kill -0 $pid || { cat "$work/log" >&2; exit 1; }
        sleep 0.02
    done
    awk -v t="$tick" '{ print ($14 + $15) * 1000 / t }' "/proc/$pid/stat" >> "$work/cost"
    kill -KILL $pid
    wait $pid 2> /dev/null || true
done
sort -n "$work/cost" | awk '{ a[NR] = $1 } END { print "CPU ms until listening: minimum " a[1] ", median " a[int((NR + 1) / 2)] ", maximum " a[NR] }'
