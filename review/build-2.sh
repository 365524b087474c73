#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review, under target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -o target/review-2/cases \
  review/stand_ins_2/deployment.cc review/stand_ins_2/cases.cc \
  -lboost_json -lpthread
