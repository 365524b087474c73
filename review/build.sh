#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases, under review/build/.
# Run the build of the deploy file first: the scripts start target/mustardbank.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -G Ninja
cmake --build build
