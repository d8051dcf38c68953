#!/bin/sh
# Compiles the stand-ins of the cases into review/out. Needs nothing but the JDK.
set -e
cd "$(dirname "$0")"
rm -rf out
javac -nowarn -d out *.java
