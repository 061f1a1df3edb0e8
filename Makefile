# Few targets; see README.md.

.PHONY: build demo test lint ci bench fuzz measure

build:
	go build -o bin/ ./cmd/...

# Starts a whole system on loopback and shows a write, a read and a failover.
demo:
	go run ./internal/demo

test:
	./scripts/test.sh

lint:
	gofmt -l .
	go vet ./...
	go tool staticcheck ./...

# Failover gap and time until a change is in force, from real processes.
measure:
	go run ./internal/measure config
	go run ./internal/measure failover --fault kill
	go run ./internal/measure failover --fault freeze

bench:
	go test -run '^$$' -bench . -benchmem ./...

fuzz:
	./scripts/fuzz.sh

ci:
	.ci/run
