#!/usr/bin/env bash
# Writes the tables of docs/RESULT-CODES.md and docs/EVENTS.md anew from the code, in place. Tests hold both to the code.
set -euo pipefail
cd "$(dirname "$0")/.."
write() { # page, class, expression
  page=$1
  rows=$(jshell -s --class-path model/target/classes - <<SHELL
import org.geraniumreach.model.*
for (var row : $2.values()) { System.out.println($3); }
SHELL
)
  { sed '/^| [0-9]/d' "$page"; printf '%s\n' "$rows"; } > "$page.new"
  mv "$page.new" "$page"
}
write docs/RESULT-CODES.md ResultCode '"| " + row.number() + " | " + row + " | " + row.httpStatus() + " | " + row.meaning() + " |"'
write docs/EVENTS.md EventCode '"| " + row.number() + " | " + row + " | " + row.level() + " | " + row.meaning() + " |"'
