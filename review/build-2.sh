#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-name cases_2 -o target/review-2/cases-2 review/harness-2/main.rs
