#!/usr/bin/env bash
# Runs the trials of the decisions in virtual time: benchmarks/trial.sh [JSON file] [seeds].
# Prints the tables as Markdown.
set -euo pipefail
cd "$(dirname "$0")/.."
output="${1:-benchmarks/target/trials.json}"
seeds="${2:-5}"
mvn -o -B -q -pl benchmarks -am compile dependency:build-classpath \
  -Dmdep.outputFile=target/classpath.txt -Dmdep.includeScope=runtime >&2
exec java -Xmx512m -XX:+UseSerialGC -Djava.util.concurrent.ForkJoinPool.common.parallelism=3 \
  -cp "benchmarks/target/classes:$(cat benchmarks/target/classpath.txt)" \
  org.geraniumreach.benchmarks.trial.TrialMain "$output" "$seeds"
