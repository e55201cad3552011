#!/bin/sh
# Builds what the scripts start beside the program of the deploy file: the stand-ins and drivers of
# the cases (clients, endpoints, discovery, platform). They use the standard library alone.
set -eu
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
