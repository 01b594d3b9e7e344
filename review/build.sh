#!/usr/bin/env bash
# Builds the cases and their stand-ins into target/review/, with rustc alone. Run from any folder.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.rs; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review/case-$number" "$source"
done
