#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --quiet --offline
