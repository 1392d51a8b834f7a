.PHONY: dev build test fmt lint race bench measure

build:
	go build -o bin/ ./cmd/...

dev:
	go run ./cmd/teaselseamd dev

test:
	.ci/test $(TESTFLAGS)

race:
	.ci/test -race

fmt:
	go tool gofumpt -l -w .

lint:
	go vet ./...
	go tool staticcheck ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...

measure:
	go run ./cmd/measure

