#!/usr/bin/env bash
# Writes the Java code of messages/src/main/proto anew. The build does not need this: the generated code is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
version=$(sed -n 's:.*<protobuf.version>\(.*\)</protobuf.version>.*:\1:p' pom.xml)
case "$(uname -m)" in
  aarch64 | arm64) machine=linux-aarch_64 ;;
  x86_64 | amd64) machine=linux-x86_64 ;;
  *)
    echo "there is no compiler of messages for $(uname -m)" >&2
    exit 1
    ;;
esac
mvn -B -q dependency:copy -Dartifact="com.google.protobuf:protoc:${version}:exe:${machine}" -DoutputDirectory="$PWD/messages/target"
compiler="messages/target/protoc-${version}-${machine}.exe"
chmod +x "$compiler"
rm -rf messages/src/main/java/org/geraniumreach/messages
mkdir -p messages/src/main/java
"$compiler" --java_out=messages/src/main/java --proto_path=messages/src/main/proto link.proto
