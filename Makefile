# Developer targets; README.md describes the usual ones.

.PHONY: build demo test lint ci bench fuzz measure

build:
	go build -o bin/ ./cmd/...

# Starts a whole system on loopback and demonstrates a write, a read and a failover.
demo:
	go run ./internal/demo

test:
	./scripts/test.sh

lint:
	gofmt -l .
	go vet ./...
	go tool staticcheck ./...

# Measures the failover gap and the time until a configuration change is applied
# everywhere with real processes, at the inter-region latencies of both deployments.
measure:
	for latency in 8ms 12ms; do \
		go run ./internal/measure config --latency $$latency || exit 1; \
		for fault in kill freeze cut; do \
			go run ./internal/measure failover --latency $$latency --fault $$fault || exit 1; \
		done; \
	done

bench:
	go test -run '^$$' -bench . -benchmem ./...

fuzz:
	./scripts/fuzz.sh

ci:
	.ci/run
