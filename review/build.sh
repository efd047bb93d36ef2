#!/usr/bin/env bash
# Builds the stand-ins of the cases, offline, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --offline --release --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
