#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which need the Rust compiler alone. The programs under test are built by the
# deploy file.
set -e
cd "$(dirname "$0")/.."
command -v rustc >/dev/null || PATH="$HOME/.cargo/bin:$PATH"
mkdir -p target/review-2
rustc --edition 2024 -O review/kit-2/main.rs -o target/review-2/rig
