#!/usr/bin/env bash
# Generates crates/cassiahoist_wire/src/generated from crates/cassiahoist_wire/proto. Commit the result.
set -euo pipefail
cd "$(dirname "$0")/generate_wire"
cargo run --quiet
