#!/usr/bin/env bash
# Runs a stand-in or the load tool. GERANIUMREACH_STANDINS_JAVA_OPTIONS replaces the options of the Java machine.
here=$(cd "$(dirname "$0")/.." && pwd)
options=${GERANIUMREACH_STANDINS_JAVA_OPTIONS:--Xms16m -Xmx256m -XX:+UseSerialGC -Xss512k}
# shellcheck disable=SC2086
exec java $options -cp "$here/standins/target/geraniumreach-standins-0.1.0-SNAPSHOT.jar:$here/standins/target/lib/*" \
  org.geraniumreach.standins.Main "$@"
