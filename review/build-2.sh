#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. It needs no network: they use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --quiet --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
