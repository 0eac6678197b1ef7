# Modules of the workspace; go.work lists them too.
MODULES = api lib fold daemon standin load cmd proofs bench
PACKAGES = $(MODULES:%=./%/...)
STATICCHECK = honnef.co/go/tools/cmd/staticcheck@v0.8.2

.PHONY: build test lint run bench capacity fuzz clean

build: ## the programs, into bin/
	go build -o bin/ ./cmd/... ./standin/cmd/... ./load/cmd/...

test: build ## all tests, fixed seeds
	go test -count=1 -timeout 20m $(PACKAGES)

lint: ## format, vet and staticcheck
	@fmt=$$(gofmt -l $(MODULES)); test -z "$$fmt" || { echo "gofmt: $$fmt"; exit 1; }
	go vet $(PACKAGES)
	go run $(STATICCHECK) $(PACKAGES)

clean:
	rm -rf bin

run: build ## a fleet of stand-ins and six hosts for half a minute, with a verdict
	scripts/run.sh

bench: ## figures of docs/MEASUREMENTS.md
	go run ./bench/cmd/mastbench -page docs/MEASUREMENTS.md

capacity: ## figures of docs/CAPACITY.md
	go run ./bench/cmd/mastcapacity -page docs/CAPACITY.md
