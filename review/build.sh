#!/bin/sh
# Builds the stand-ins of the cases. They use the standard library alone.
set -e
cd "$(dirname "$0")/standins"
cargo build --release --offline
