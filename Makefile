.PHONY: build test lint run try

build:
	mvn -B -q -DskipTests package

test:
	mvn -B verify

lint:
	mvn -B -q compile checkstyle:check

run: build
	BALANCER_CONFIG=examples/config.json java -jar gateway/target/sandpaddle.jar serve --operator deploy/sandpaddle.json

try: build
	java -jar lab/target/lab.jar try
