#!/bin/sh
# Compiles the stand-ins of cases 6 to 10 into review/second/out. Needs nothing but the JDK.
set -e
cd "$(dirname "$0")/second"
rm -rf out
javac -nowarn -d out *.java
