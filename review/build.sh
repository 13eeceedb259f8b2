#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs the compiler only, no dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
