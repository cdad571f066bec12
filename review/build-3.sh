#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/stand3
