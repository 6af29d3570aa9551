#!/bin/bash
# Plays case 10. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run; TROUBLE=0 leaves the
# disruption out. Build first: the build of deploy/system.toml, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-case
if [ ! -x "$program" ] || [ ! -x target/release/cassiahoist ]; then
    echo "case 10: not built"
    exit 2
fi
exec "$program" 10 review/10
