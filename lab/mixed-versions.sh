#!/usr/bin/env bash
# Runs two builds of the gateway side by side and on each other's files: lab/mixed-versions.sh OLD_JAR NEW_JAR [DIR]
#
#   adapter  the recorded simulator input gives the same output
#   check    the operator's file and a platform configuration get the same exit status
#   fleets   in a fleet of one build under load, a gateway is killed and comes back with the other build on the
#            directory that the first one wrote (kill); two of three voters are killed and come back with the other
#            build, one with an empty directory, one with an old copy (disk-lost), so that a leader is killed
#   stored   after a run of the old build with a predicted outage, the new build opens each gateway's voter directory,
#            floor file and stored answers
#
# Run from the repository's root after make build. Exit status 1 if a step failed; DIR keeps logs, disks and figures.
set -u
[ $# -ge 2 ] || { sed -n '2,13s/^# \{0,1\}//p' "$0"; exit 64; }
old=$(realpath "$1"); new=$(realpath "$2"); dir=${3:-lab/target/mixed-versions}
mkdir -p "$dir"; dir=$(realpath "$dir")
lab=$(realpath lab/target/lab.jar); recorded=gateway/src/test/resources/recorded/wire-input.txt
flags="-XX:+UseSerialGC -XX:TieredStopAtLevel=1"; failed=0

verdict() { # verdict NAME STATUS
  if [ "$2" -eq 0 ]; then echo "ok      $1"; else echo "FAILED  $1"; failed=1; fi
}

# The lab starts gateways with this class in place of a jar: it runs the build that FOLDER/gateway.jar points to at that
# time, with a disk tier for stored answers added to the operator's file.
launcher=$dir/launcher; mkdir -p "$launcher/sandpaddle/app"
cat > "$launcher/Main.java" <<'JAVA'
package sandpaddle.app;

import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;

public final class Main {
    public static void main(String[] args) throws Exception {
        if (args[0].equals("serve")) {
            Path file = Path.of(args[2]);
            String text = Files.readString(file);
            if (!text.contains("disk_bytes")) {
                Files.writeString(file, text.replace("\"content\":{", "\"content\":{\"disk_bytes\":4194304,"));
            }
        }
        Path folder = Path.of(System.getProperty("java.class.path").split(":")[1]);
        URL jar = folder.resolve("gateway.jar").toRealPath().toUri().toURL();
        ClassLoader loader = new URLClassLoader(new URL[] {jar}, ClassLoader.getPlatformClassLoader());
        Thread.currentThread().setContextClassLoader(loader);
        loader.loadClass("sandpaddle.app.Main").getMethod("main", String[].class).invoke(null, (Object) args);
    }
}
JAVA
javac -d "$launcher" "$launcher/Main.java" || exit 1

# fleet NAME SCENARIO FIRST SECOND SEED: gateways start with FIRST; those started once all are up run SECOND
fleet() {
  local folder=$dir/$1; rm -rf "$folder"; mkdir -p "$folder"
  ln -sfn "$3" "$folder/gateway.jar"
  java $flags -jar "$lab" fleet --scenario "$2" --short --seed "$5" --gateway "$launcher:$folder" --logs "$folder" \
    --json "$folder/figures.json" > "$folder/out.txt" 2>&1 &
  local run=$!
  until [ "$(grep -ls 'listens on' "$folder"/n[012].log 2>/dev/null | wc -l)" -eq 3 ] || ! kill -0 $run 2>/dev/null; do
    sleep 0.2
  done
  ln -sfn "$4" "$folder/gateway.jar"
  wait $run; verdict "$1" $?
}

for jar in old new; do
  java $flags -jar "${!jar}" adapter < "$recorded" > "$dir/adapter-$jar.txt" 2> "$dir/adapter-$jar.err"
done
[ -s "$dir/adapter-new.txt" ] && cmp -s "$dir/adapter-old.txt" "$dir/adapter-new.txt"; verdict "adapter: same output" $?

fleet old-fleet-new-gateway kill "$old" "$new" 1
fleet new-fleet-old-gateway kill "$new" "$old" 1
fleet old-fleet-new-voters disk-lost "$old" "$new" 1
fleet new-fleet-old-voters disk-lost "$new" "$old" 1
fleet old-stored outage "$old" "$old" 1

for jar in old new; do
  java $flags -jar "${!jar}" check deploy/sandpaddle.json --config "$dir/old-stored/n0.json" > "$dir/check-$jar.txt" 2>&1
  echo $? > "$dir/check-$jar.status"
done
cmp -s "$dir/check-old.status" "$dir/check-new.status"; verdict "check: same exit status" $?

before=$(cd "$dir/old-stored" && find . -name 'content-*.seg' -size +0 | sort)
[ -n "$before" ]; verdict "stored: the old build wrote segments of stored answers" $?
for name in n0 n1 n2; do
  log=$dir/stored-$name.log
  BALANCER_CONFIG=$dir/old-stored/$name.json java $flags -jar "$new" serve \
    --operator "$dir/old-stored/$name.operator.json" > "$log" 2>&1 &
  gateway=$!
  sleep 5
  kill -TERM $gateway; wait $gateway
  # the feed and the peers are gone by now, so connections are refused
  grep -q 'listens on' "$log" &&
    ! grep -v 'EndpointWatcher\|link' "$log" | grep -Eiq 'not used|ignored: |cannot|corrupt|retired|aside|quarantined|exception'
  verdict "stored: $name opens the old build's directory" $?
done
[ -z "$(find "$dir/old-stored" -name '*.aside*' -o -name '*.bad*')" ]; verdict "stored: nothing was set aside" $?
exit $failed
