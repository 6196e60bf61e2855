TOOL = go tool -modfile=tools/go.mod

# Exact names of known failures, so that the verdict of the others stays visible.
KNOWN_RED = $(shell sed -n 's/^test: \([A-Za-z0-9_]*\).*/^\1$$/p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)

.PHONY: build run test lint format generate bench

build:
	go build -o bin/marigoldwinch .

run: build
	./bin/marigoldwinch local

# Whole daemons in virtual time hold thousands of goroutines each. With six of these tests at once the race detector's own runtime
# failed a check ("tsan_rtl.cpp:346"), and one package took 7 GB.
WHOLE = internal/cli/daemon
WHOLE_PARALLEL = 3

test:
	go test -race -skip '$(KNOWN_RED)' $$(go list ./... | grep -v '$(WHOLE)$$')
	go test -race -parallel $(WHOLE_PARALLEL) -skip '$(KNOWN_RED)' ./$(WHOLE)

lint:
	$(TOOL) golangci-lint run ./...

format:
	$(TOOL) golangci-lint fmt ./...

generate:
	go generate ./...

# The measurements in virtual time are tests of their own; a wall-clock figure is the median of several runs.
BENCH_RUNS = 3

bench: build
	go test -count 1 -v -run 'TestOverload|TestProbesStayWithinBudget|TestTailLatency|TestSteadyWork' \
		./internal/admit/gate ./internal/admit/probe ./internal/route/choice
	go test -run '^$$' -bench Policy -benchtime 1x ./internal/route/choice > bin/bench.txt
	go test -run '^$$' -bench Path -benchtime 2s -count $(BENCH_RUNS) ./internal/cli/daemon >> bin/bench.txt
	go test -run '^$$' -bench . -benchmem ./internal/wire/... ./internal/route/front ./internal/fleet/... ./internal/conf/... >> bin/bench.txt
	cat bin/bench.txt
	./bin/marigoldwinch bounds --file bench/bounds.ini < bin/bench.txt
