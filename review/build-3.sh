#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/11 to review/15 start, the
# project's own too, under target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand_ins_3 -B target/review-3 -G Ninja
cmake --build target/review-3
