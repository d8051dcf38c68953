#!/bin/sh
# Plays case 6: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/second/out/Case6.class ] && [ -f gateway/target/sandpaddle.jar ] || { echo "build first"; exit 2; }
exec java -cp review/second/out Case6 review/6
