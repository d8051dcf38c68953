#!/bin/sh
# Creates gateway/target/sandpaddle.jsa, the class-data sharing (CDS) archive that shortens the start of a gateway; under
# load a starting gateway gets only half a core. To record the classes, one gateway is started on a free loopback port
# and stopped with SIGTERM; its JVM writes the archive at exit. The archive is optional: without it a gateway only starts
# more slowly.
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
test -f gateway/target/sandpaddle.jsa || echo "CDS archive was not created; gateways will start without it" >&2
exit 0
