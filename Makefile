TOOL = go tool -modfile=tools/go.mod

.PHONY: build run test lint format generate bench

build:
	go build -o bin/marigoldwinch .

run: build
	./bin/marigoldwinch local

test:
	go test -race ./...

lint:
	$(TOOL) golangci-lint run ./...

format:
	$(TOOL) golangci-lint fmt ./...

generate:
	go generate ./...

bench: build
	go test -run '^$$' -bench . -benchmem ./...
