#!/bin/bash
# Builds what the scripts of this review start. It needs no network and no library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/play-2/Cargo.toml --target-dir target/play-2
