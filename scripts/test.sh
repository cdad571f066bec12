#!/usr/bin/env bash
# Prints KNOWN-RED.txt and runs all tests with the race detector, except those
# listed in it.
#
# Packages whose tests use virtual time (testing/synctest) run with -cpu 1 under
# the race detector: inside a synctest bubble, this toolchain's detector crashes
# when a select meets a timer that is already due on another processor (P).
# These packages run a second time on all processors without the detector.
#
# The tests of platform/crowd and internal/app, which have crowds of clients, run alone: other load beside them would be part of
# the crowd.
set -euo pipefail
cd "$(dirname "$0")/.."
cat KNOWN-RED.txt
skip=$(scripts/known-red.sh)
crowd_packages='./platform/crowd
./internal/app'
synctest_packages=$(grep -rl --include='*_test.go' '"testing/synctest"' . | xargs -n1 dirname | sort -u)
other_packages=$(go list -f '{{.Dir}}' ./... | sed "s|^$PWD|.|" | grep -vxF "$synctest_packages" | grep -vxF "$crowd_packages")
status=0
go test -race -timeout 20m -skip "$skip" $other_packages || status=1
go test -race -cpu 1 -timeout 20m -skip "$skip" $synctest_packages || status=1
go test -timeout 20m -skip "$skip" $synctest_packages || status=1
go test -race -p 1 -timeout 20m -skip "$skip" $crowd_packages || status=1
exit $status
