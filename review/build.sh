#!/bin/sh
# Builds the programs of the cases. The relay and the stand-in of the store are parts of one
# program, which the build of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
[ -x target/release/laburnumworks ] || cargo build --release --locked
mkdir -p target/review
for case in review/[1-5]; do
    rustc --edition 2021 -O -o "target/review/case-$(basename "$case")" "$case/case.rs"
done
