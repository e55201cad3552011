#!/bin/sh
# Plays this case; see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: it could not run.
# TROUBLE=0 leaves out the disruption. Build first: the build of the deploy file, then review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
case=$(basename "$folder")
program=$root/review/standins/target/release/review-case
if [ ! -x "$program" ] || [ ! -x "$root/target/release/cottonpoint" ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2
    exit 2
fi
exec "$program" "$case" "$root" "$folder"
