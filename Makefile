SEED ?= 1
CHECKS ?= 20
MINUTES ?= 5

.PHONY: all build test check fmt demo tour search search-reverts soak soak-earlier soak-large soak-upgrade measure price bench capacity pages fuzz

all: fmt check

build: ## builds both programs into bin
	go build -o bin/ ./cmd/...

test: ## runs all tests
	go test ./...

check: ## runs what CI runs
	bash .ci/run

fmt: ## formats the code
	go tool gofumpt -w .

demo: ## runs gangs and requests end to end in one process
	go run ./cmd/jujubegrade demo

tour: build ## starts separate processes on loopback and runs example commands against them
	bash examples/tour.sh

soak: ## tests decisions and owners under random faults; SEED and CHECKS set the seed and the number of runs
	go test ./internal/process/placement ./internal/process/owner ./internal/process/poolowner -count=1 -run 'TestSoak$$' -rapid.seed=$(SEED) -rapid.checks=$(CHECKS)
	go test ./platform -count=1 -run 'TestProcessSoak$$|TestProcessSoakOfTimeOfDay' -process.seed $(SEED)

search: ## plays random scripts of faults against owners in virtual time; MINUTES and SEED set the time and the first seed
	go test ./internal/process/poolowner -count=1 -timeout 0 -v -run 'TestSearch$$' -search.time $(MINUTES)m -search.seed $(SEED)

search-reverts: ## takes back each fix that docs/design/search.md lists, one at a time, and tries whether the search finds the fault
	bash test/search-reverts.sh $(SEED)

soak-large: ## tests 16 processes with 24 workers under random faults
	go test ./platform -count=1 -run 'TestProcessSoak$$' -process.seed $(SEED) -process.instances 16 -process.workers 24

soak-upgrade soak-earlier: FLAG = $(if $(filter soak-earlier,$@),program,earlier)
soak-upgrade soak-earlier: TESTS = TestProcessSoak$$$(if $(filter soak-earlier,$@),|TestProcessSoakOfTimeOfDay)
soak-earlier: ## tests processes of the commit FROM alone, to show whether the soak finds a fault that it has
soak-upgrade: ## tests processes of this version beside those of the commit FROM, which take turns in each instance
soak-upgrade soak-earlier:
	test -n "$(FROM)"
	rm -rf target/earlier && git worktree prune && git worktree add --detach target/earlier $(FROM)
	go test ./platform -count=1 -run '$(TESTS)' -process.seed $(SEED) -process.$(FLAG) $(CURDIR)/target/earlier; \
		status=$$?; git worktree remove --force target/earlier; exit $$status

measure: ## compares the decisions with two baselines, one figure per line
	go run ./cmd/jujubegrade measure -seed $(SEED)

price: ## prints what processes take in calm, those of the commit FROM and those of this version in turn
	test -n "$(FROM)"
	rm -rf target/earlier && git worktree prune && git worktree add --detach target/earlier $(FROM)
	for run in 1 2 3; do for tree in $(CURDIR)/target/earlier $(CURDIR); do echo $$tree; \
		go test ./platform -count=1 -v -run 'TestProcessPrice' -process.price -process.program $$tree | grep instance; done; done; git worktree remove --force target/earlier

bench: ## times decisions, proxied requests and the start of gangs
	go test ./internal/process/placement -run '^$$' -bench . -benchtime 300x
	go test ./internal/process/entry -run '^$$' -bench Proxied -benchtime 50000x
	go test ./internal/process/entry -run '^$$' -bench Gang -benchtime 20x

capacity: ## measures the per-unit costs behind docs/CAPACITY.md
	go run ./cmd/jujubegrade capacity
	go test ./internal/process/configuration -count=1 -run Capacity -capacity -v | grep ^Spread

fuzz: ## fuzzes settings, configuration, peer messages, records, reports, entries and jobs, 30s each
	go test ./internal/process/settings -run '^$$' -fuzz FuzzParse -fuzztime 30s
	go test ./internal/version/config -run '^$$' -fuzz FuzzParse -fuzztime 30s
	go test ./internal/connection/peer -run '^$$' -fuzz FuzzMessages -fuzztime 30s
	go test ./internal/process/pool -run '^$$' -fuzz FuzzRecord -fuzztime 30s
	for decoder in FuzzDecodeReport FuzzSettings FuzzStoreEntries FuzzDecodeJob; do go test ./platform -run '^$$' -fuzz $$decoder'$$' -fuzztime 30s || exit 1; done

pages: ## regenerates the pages built from tables in the code
	JUJUBEGRADE_WRITE_PAGES=1 go test ./internal/version/config ./cmd/jujubegrade -count=1
