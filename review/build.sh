#!/bin/sh
# Builds the programs of the review's cases: each plays its stand-ins itself.
set -e
cd "$(dirname "$0")/.."
for main in review/[0-9]/main.go; do
  case=$(basename "$(dirname "$main")")
  go build -o "review/bin/case-$case" "./review/$case"
done
