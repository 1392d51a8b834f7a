.PHONY: dev build test fmt lint race bench measure soak

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

# SOAK holds flags for bin/soak, for example SOAK="--seed 7 --runs 50 --faults 30s".
soak: build
	bin/soak $(SOAK)
