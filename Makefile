SHELL = bash
.SHELLFLAGS = -o pipefail -ec

TOOL = go tool -modfile=tools/go.mod

# Exact names of known failures, so that the verdict of the others stays visible.
KNOWN_RED = $(shell sed -n 's/^test: \([A-Za-z0-9_]*\).*/^\1$$/p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)

.PHONY: build run test soak force lint format generate bench

build:
	go build -o bin/marigoldwinch .

run: build
	./bin/marigoldwinch local

# Under the race detector, tests in bubbles of testing/synctest run on one processor: the Go runtime uses the race context of a bubble's
# timers from several threads at once, and the detector's own runtime then ends the process ("tsan_rtl.cpp:346", or a fault in SlotLock).
BUBBLES = $(shell grep -rl '"testing/synctest"' --include='*_test.go' internal platform | xargs -n 1 dirname | sort -u | grep -vx '$(WHOLE)')
OTHERS = $(shell go list -f '{{.Dir}}' ./... | sed 's,^$(CURDIR)/*,,' | grep -vxF '$(WHOLE)' | grep -vxF $(BUBBLES:%=-e %))

# Whole daemons in virtual time: a process for each test, so that these use several processors too and give their memory back.
WHOLE = internal/cli/daemon
WHOLE_PROCESSES = 4
WHOLE_TIMEOUT = 10m

test:
	go test -race -skip '$(KNOWN_RED)' $(OTHERS:%=./%)
	go test -race -cpu 1 -skip '$(KNOWN_RED)' $(BUBBLES:%=./%)
	go test -race -c -o bin/whole.test ./$(WHOLE)
	cd $(WHOLE) && $(CURDIR)/bin/whole.test -test.list . | grep '^Test' | xargs -P $(WHOLE_PROCESSES) -I {} \
		$(CURDIR)/bench/one.sh $(CURDIR)/bin/whole.test {} -test.cpu 1 -test.timeout $(WHOLE_TIMEOUT) -test.skip '$(KNOWN_RED)'

# Faults of random kinds against real processes: make soak SEEDS=50 FIRST=1. A seed that fails goes into internal/bench/proc/testdata/soak.
SEEDS = 10
FIRST = 1
SOAK_PROCESSES = 3

soak: build
	go test -race -c -o bin/soak.test ./internal/bench/proc
	cd internal/bench/proc && seq $(FIRST) $$(($(FIRST) + $(SEEDS) - 1)) | MARIGOLDWINCH_BINARY=$(CURDIR)/bin/marigoldwinch \
		xargs -P $(SOAK_PROCESSES) -I {} env SOAK_SEEDS=1 SOAK_FIRST={} LABEL="seed {}" $(CURDIR)/bench/one.sh $(CURDIR)/bin/soak.test TestProc \
		-ginkgo.focus 'a soak' -ginkgo.no-color

# Changes of the configuration around troubles of the store, on daemons of the deploy file: make force FORCE_SEEDS=10 FORCE_DAEMONS=68.
# FORCE_BINARY and FORCE_TEMPLATE name another build and its deploy/daemon.ini.
FORCE_SEEDS = 5
FORCE_DAEMONS = 12
FORCE_ROUNDS = 6
FORCE_BINARY = $(CURDIR)/bin/marigoldwinch
FORCE_TEMPLATE = $(CURDIR)/deploy/daemon.ini
FORCE_LOGS = $(CURDIR)/bin/force

force: build
	go test -c -o bin/force.test ./platform
	cd platform && seq $(FIRST) $$(($(FIRST) + $(FORCE_SEEDS) - 1)) | xargs -I {} env FORCE_SEED={} FORCE_DAEMONS=$(FORCE_DAEMONS) \
		FORCE_ROUNDS=$(FORCE_ROUNDS) FORCE_TEMPLATE=$(FORCE_TEMPLATE) FORCE_LOGS=$(FORCE_LOGS)/{} MARIGOLDWINCH_BINARY=$(FORCE_BINARY) \
		$(CURDIR)/bin/force.test -test.v -test.timeout 20m -test.run TestChangesAreInForceOnRealDaemons

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
