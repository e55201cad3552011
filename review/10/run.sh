#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it runs without the disruption.
cd "$(dirname "$0")" || exit 2
REPOSITORY=$(cd ../.. && pwd) || exit 2
export REPOSITORY
exec ../standins-2/target/release/review-standins-2 shared-id "$PWD"
