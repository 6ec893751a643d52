#!/usr/bin/env bash
# Runs the JMH benchmarks and the measurement of memory: benchmarks/run.sh [output directory] [benchmark pattern].
# Writes jmh.json and memory.json there.
set -euo pipefail
cd "$(dirname "$0")/.."
output="${1:-benchmarks/target}"
pattern="${2:-.*}"
mkdir -p "$output"
mvn -o -B -q -pl benchmarks -am compile dependency:build-classpath \
  -Dmdep.outputFile=target/classpath.txt -Dmdep.includeScope=runtime >&2
classpath="benchmarks/target/classes:$(cat benchmarks/target/classpath.txt)"
echo "load average before: $(cut -d' ' -f1-3 /proc/loadavg), processors: $(nproc)"
java -Xmx512m -XX:+UseSerialGC -cp "$classpath" org.openjdk.jmh.Main "$pattern" \
  -f 1 -wi 3 -w 500ms -i 5 -r 500ms -prof gc -jvmArgs "-Xmx512m -XX:+UseSerialGC" \
  -rf json -rff "$output/jmh.json" -o "$output/jmh.txt"
# The results name the Java machine by its place on this machine, which says nothing to a reader.
sed -i 's#"jvm" : "[^"]*"#"jvm" : "java"#' "$output/jmh.json"
java -Xmx512m -XX:+UseSerialGC -cp "$classpath" org.geraniumreach.benchmarks.jmh.MemoryMain >"$output/memory.json"
echo "load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
grep -E "^Benchmark|avgt" "$output/jmh.txt" | grep -vE "gc.(count|time|alloc.rate )"
cat "$output/memory.json"
