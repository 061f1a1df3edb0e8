# Few targets; see README.md.

.PHONY: build test lint ci

build:
	go build -o bin/ ./cmd/...

test:
	./scripts/test.sh

lint:
	gofmt -l .
	go vet ./...
	go tool staticcheck ./...

ci:
	.ci/run
