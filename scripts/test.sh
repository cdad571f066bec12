#!/usr/bin/env bash
# Runs all tests with the race detector but those that KNOWN-RED.txt lists,
# and prints that list.
#
# Packages with tests in virtual time (testing/synctest) run on one processor:
# in a bubble the detector of this tool chain crashes when a select meets a
# timer that is already due on another processor's state. Their tests run once
# more without the detector on all processors.
set -euo pipefail
cd "$(dirname "$0")/.."
cat KNOWN-RED.txt
skip=$(scripts/known-red.sh)
virtual=$(grep -rl --include='*_test.go' '"testing/synctest"' . | xargs -n1 dirname | sort -u)
real=$(go list -f '{{.Dir}}' ./... | sed "s|^$PWD|.|" | grep -vxF "$virtual")
status=0
go test -race -timeout 20m -skip "$skip" $real || status=1
go test -race -cpu 1 -timeout 20m -skip "$skip" $virtual || status=1
go test -timeout 20m -skip "$skip" $virtual || status=1
exit $status
