#!/usr/bin/env bash
# Builds the stand-ins of the cases, one program each, beside the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]; do
  go build -o "target/review/case${case#review/}" "./$case"
done
