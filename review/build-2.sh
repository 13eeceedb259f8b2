#!/bin/sh
# Builds the stand-ins of the script cases 6, 8 and 9.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/standins-2/standin.rs
