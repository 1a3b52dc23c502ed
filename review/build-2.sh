#!/bin/sh
# Builds the programs that the scripts of review/4 to review/8 start. They have no dependencies.
set -e
cd "$(dirname "$0")/standin-2"
cargo build --release --locked --offline
cd ../standin-2b
cargo build --release --locked --offline
