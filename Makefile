SEED ?= 1
CHECKS ?= 20

.PHONY: all build test check fmt demo

all: fmt check

build: ## builds both programs into bin
	go build -o bin/ ./cmd/...

test: ## runs all tests
	go test ./...

check: ## runs what CI runs
	bash .ci/run

fmt: ## formats the code
	go tool gofumpt -w .

demo: ## shows the whole path in one process
	go run ./cmd/jujubegrade demo
