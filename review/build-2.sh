#!/bin/sh
# Builds the program that the scripts of review/4 to review/8 start. It has no dependencies.
set -e
cd "$(dirname "$0")/standin-2"
cargo build --release --locked --offline
