.PHONY: build test lint run check

build: ## the router and the adapter, into bin/
	mkdir -p bin && go build -o bin/ ./cmd/...

test: ## all tests, with the race detector
	go test -race -count=1 ./...

lint:
	@unformatted=$$(gofmt -l .); [ -z "$$unformatted" ] || { echo "gofmt: $$unformatted"; exit 1; }
	go vet ./...

run: build ## needs the PROXY_* variables, see README.md
	bin/sumacloft

check: ## what CI runs
	bash .ci/run
