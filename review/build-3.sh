#!/bin/sh
# Builds the stand-ins of the third review, in the repository. They need no dependency and no network.
set -e
cd "$(dirname "$0")/standins-3"
exec cargo build --release --offline --locked
