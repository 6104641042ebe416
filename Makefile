.PHONY: build test lint run check help

help: ## this list
	@sed -n 's/^\([a-z]*\):.*## /\1\t/p' Makefile

build: ## the router and the adapter, into bin/
	mkdir -p bin && go build -o bin/ ./cmd/...

test: ## all tests, with the race detector
	go test -race -count=1 ./...

lint: ## format and vet
	@unformatted=$$(gofmt -l .); [ -z "$$unformatted" ] || { echo "gofmt: $$unformatted"; exit 1; }
	go vet ./...

run: build ## the chat front of examples/, see examples/README.md
	bin/sumacloft -config examples/operator.toml

check: ## what CI runs
	bash .ci/run
