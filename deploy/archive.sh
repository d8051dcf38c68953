#!/bin/sh
# Makes gateway/target/sandpaddle.jsa, the class-data archive that a gateway starts from: a start under load has half a core.
# One gateway is started for it on a free loopback port and asked to end. Without the archive it starts as well, later.
set -u
cd "$(dirname "$0")/.." || exit 0
work=$(mktemp -d) || exit 0
sed 's/"listen": *"[^"]*"/"listen": "127.0.0.1:0"/' examples/config.json > "$work/config.json"
rm -f gateway/target/sandpaddle.jsa
BALANCER_CONFIG="$work/config.json" java -XX:+UseSerialGC -Xshare:auto -XX:ArchiveClassesAtExit=gateway/target/sandpaddle.jsa \
    -jar gateway/target/sandpaddle.jar serve > "$work/log" 2>&1 &
gateway=$!
tries=0
until grep -q ' listens on ' "$work/log" || [ $tries -ge 100 ]; do
    tries=$((tries + 1))
    sleep 0.1
done
kill -TERM $gateway
wait $gateway
rm -rf "$work"
test -f gateway/target/sandpaddle.jsa || echo "no class-data archive: a gateway starts without it" >&2
exit 0
