SEED ?= 1
CHECKS ?= 20

.PHONY: all build test check fmt demo tour soak measure bench capacity pages fuzz

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

tour: build ## starts separate processes on loopback and shows the command line against them
	bash examples/tour.sh

soak: ## random faults against decisions and owners; SEED and CHECKS set the run
	go test ./internal/process/placement ./internal/process/owner ./internal/process/poolowner -count=1 -run 'TestSoak$$' -rapid.seed=$(SEED) -rapid.checks=$(CHECKS)
	go test ./platform -count=1 -run TestProcessSoak -process.seed $(SEED)

measure: ## the decisions beside two baselines, one figure a line
	go run ./cmd/jujubegrade measure -seed $(SEED)

bench: ## times decisions, proxied requests and the start of gangs
	go test ./internal/process/placement -run '^$$' -bench . -benchtime 300x
	go test ./internal/process/entry -run '^$$' -bench Proxied -benchtime 50000x
	go test ./internal/process/entry -run '^$$' -bench Gang -benchtime 20x

capacity: ## the slopes behind docs/CAPACITY.md
	go run ./cmd/jujubegrade capacity
	go test ./internal/process/configuration -count=1 -run Capacity -capacity -v | grep ^Spread

fuzz: ## fuzzes settings, configuration and peer messages for a while
	go test ./internal/process/settings -run '^$$' -fuzz FuzzParse -fuzztime 30s
	go test ./internal/version/config -run '^$$' -fuzz FuzzParse -fuzztime 30s
	go test ./internal/connection/peer -run '^$$' -fuzz FuzzMessages -fuzztime 30s

pages: ## writes the pages that come from tables in the code
	JUJUBEGRADE_WRITE_PAGES=1 go test ./internal/version/config ./cmd/jujubegrade -count=1
