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

# Runs all tests with the race detector, except those listed in KNOWN-RED.txt.
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
# FULL=1 runs each workload three times; QUICK=1 runs a short suite.
measure: build
	$(BIN)/greengage-load -suite $(if $(FULL),full,$(if $(QUICK),quick,normal)) \
		-seed $(SEED) -bin $(BIN) -out measure -commit $(VERSION)

# Demonstrates the whole request path on loopback; fails if any step fails.
demo: build
	scripts/demo.sh

# Soak test: runs gateways as processes for SOAK, with fault injection. SEED
# selects the faults. The test reads its duration from GREENGAGE_SOAK_TIME;
# GREENGAGE_SOAK is the time of the randomised tests below.
SOAK ?= 20s
soak:
	GREENGAGE_SOAK_SEED=$(SEED) GREENGAGE_SOAK_TIME=$(SOAK) go test -count=1 -timeout 0 -v -run 'TestSoak' ./platform/soak

# Runs each randomised test for RANDOMISED; every iteration uses a new seed. The
# pattern also runs the soak tests, with their default seeds and duration.
RANDOMISED ?= 10m
randomised:
	GREENGAGE_SOAK=$(RANDOMISED) go test -count=1 -timeout 0 -run 'Soak|Randomised' ./...

# Fuzzes each parser of external input for FUZZTIME.
FUZZTIME ?= 30s
fuzz:
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME) ./internal/router
	go test -run '^$$' -fuzz FuzzReadFrame -fuzztime $(FUZZTIME) ./internal/wire
	go test -run '^$$' -fuzz FuzzOpen -fuzztime $(FUZZTIME) ./membership
	go test -run '^$$' -fuzz FuzzParseHead -fuzztime $(FUZZTIME) ./snapshot
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME) ./internal/object
	go test -run '^$$' -fuzz FuzzDecodeServer -fuzztime $(FUZZTIME) ./platform

# Measures the cost of each of these packages at several sizes, and writes
# measure/slopes.json and the tables of docs/CAPACITY.md.
SLOPED := ./membership ./internal/configsync ./quota ./internal/agent/cacheindex ./internal/agent/prober ./once
slopes:
	go run ./internal/capacity/collect -out measure/slopes.json $(SLOPED)
