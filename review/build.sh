#!/bin/sh
# Builds the stand-ins that the scripts start. They use the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline \
    --manifest-path review/standin/Cargo.toml --target-dir target/review
