#!/bin/bash
# Compiles the stand-ins of the scripts of this review, after the build of the deploy file.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
libraries="$(echo "$root"/target/lib/jackson-{databind,core,annotations}-*.jar | tr ' ' ':')"
mkdir -p "$root/target/review-2"
javac -nowarn -d "$root/target/review-2" -cp "$libraries" "$root"/review/standins-2/*.java
