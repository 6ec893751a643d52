#!/usr/bin/env bash
# Compiles the stand-ins of the cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac -d target/classes -cp "../target/lib/*" standins/*.java
