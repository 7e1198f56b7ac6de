#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on. Needs no network: the package has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --offline --locked --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
