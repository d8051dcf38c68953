.PHONY: build test races costs scale format lint run try

build:
	mvn -B -q -DskipTests package

test:
	sh .ci/test-with-known-red
	$(MAKE) --no-print-directory races

# tests of lock-free data structures with jcstress, about 30 s
races:
	mvn -B -q -DskipTests package
	cd bench/target && java -cp bench.jar org.openjdk.jcstress.Main -m sanity -r races > races.log 2>&1 \
		|| sh ../known-red.sh races.log ../../KNOWN-RED.txt
	@grep 'Results: .*planned' bench/target/races.log | tail -1

# benchmarks of the fleet on the request path with JMH: nanoseconds and allocated bytes
costs:
	mvn -B -q -DskipTests package
	java -jar bench/target/bench.jar -prof gc

# scale run of a small fleet of control machines and simulated gateways, about a minute
scale:
	mvn -B -q -DskipTests package
	java -jar lab/target/lab.jar scale --gateways 60 --fault control-machine --short --json lab/target/scale.json

# formats all sources
format:
	mvn -B -q spotless:apply

# checks the format, Checkstyle rules and Error Prone findings; fails on the first difference or warning
lint:
	mvn -B -q spotless:check
	mvn -B -q -Plint -pl gateway,lab -am test-compile checkstyle:check
	mvn -B -q -pl bench checkstyle:check

run: build
	BALANCER_CONFIG=examples/config.json java -jar gateway/target/sandpaddle.jar serve --operator deploy/sandpaddle.json

try: build
	java -jar lab/target/lab.jar try
