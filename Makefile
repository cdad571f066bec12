# Builds, tests, demonstrates and measures greengagegate.
BIN      := bin
PROGRAMS := greengage-router greengage-agent greengagectl greengage-standin greengage-load
VERSION  ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)
LDFLAGS  := -X github.com/greengagegate/greengagegate/internal/daemon.Version=$(VERSION)
SEED     ?= 1

export CGO_ENABLED := 1

.PHONY: build test lint generate-check demo measure soak randomised slopes fuzz

build:
	@mkdir -p $(BIN)
	go build -ldflags '$(LDFLAGS)' -o $(BIN)/ ./cmd/...

# Runs all tests with the race detector but those that KNOWN-RED.txt lists.
test:
	scripts/test.sh

lint:
	@unformatted=$$(go tool gofumpt -l . | grep -v '\.pb\.go$$'); \
	if [ -n "$$unformatted" ]; then echo "gofumpt: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

# Fails when the committed generated code differs from what the generator writes.
generate-check:
	go generate ./internal/wire ./membership
	git diff --exit-code -- '*.pb.go'

# Runs the workloads against each placement policy and writes measure/latest.*.
# FULL=1 repeats each three times, QUICK=1 is short.
measure: build
	$(BIN)/greengage-load -suite $(if $(FULL),full,$(if $(QUICK),quick,normal)) \
		-seed $(SEED) -bin $(BIN) -out measure -commit $(VERSION)

# Runs the whole path on loopback and fails when any step does.
demo: build
	scripts/demo.sh

# Runs gateways as processes among the faults that SEED decides, for SOAK.
SOAK ?= 20s
soak:
	GREENGAGE_SOAK_SEED=$(SEED) GREENGAGE_SOAK_TIME=$(SOAK) go test -count=1 -timeout 0 -v -run 'TestSoak$$' ./platform/soak

# Runs the randomised tests for RANDOMISED each, with a seed of the day's choosing.
RANDOMISED ?= 10m
randomised:
	GREENGAGE_SOAK=$(RANDOMISED) go test -count=1 -timeout 0 -run 'Soak|Randomised' ./...

# Fuzzes what comes from outside for FUZZTIME each.
FUZZTIME ?= 30s
fuzz:
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME) ./internal/router
	go test -run '^$$' -fuzz FuzzReadFrame -fuzztime $(FUZZTIME) ./internal/wire
	go test -run '^$$' -fuzz FuzzOpen -fuzztime $(FUZZTIME) ./membership
	go test -run '^$$' -fuzz FuzzParseHead -fuzztime $(FUZZTIME) ./snapshot
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME) ./internal/object

# Measures what each part costs at several sizes, and writes measure/slopes.json
# and the tables of docs/CAPACITY.md.
SLOPED := ./membership ./internal/configsync ./quota ./internal/agent/cacheindex ./internal/agent/prober ./once
slopes:
	go run ./internal/capacity/collect -out measure/slopes.json $(SLOPED)
