#!/bin/sh
# Builds the programs of the scripts of the second review: each plays its stand-ins itself.
set -e
cd "$(dirname "$0")/.."
for case in 6 7 8 9 10; do
  if [ -f "review/$case/main.go" ]; then
    go build -o "review/bin/case-$case" "./review/$case"
  fi
done
