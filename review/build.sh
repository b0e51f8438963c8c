#!/usr/bin/env bash
# Builds the stand-ins and the runner of the cases: the standard library alone, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
command -v rustc >/dev/null || PATH="$HOME/.cargo/bin:$PATH"
mkdir -p bin
rustc -O --edition 2024 --crate-name case -o bin/case kit/main.rs
