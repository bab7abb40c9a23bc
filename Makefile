# Everything that a developer runs. It needs Go and make; the libraries come
# through the Go module proxy.

# How many packages are built or tested at once, and threads of the linter.
P ?= 4
# How long each fuzz target runs.
FUZZTIME ?= 10s

GO ?= go
BIN := bin
TOOLS := $(BIN)/tools

MODULES := core adapters daemon platform cmd standin
PACKAGES := $(MODULES:%=./%/...)
SOURCES := $(MODULES) tools

# Packages that are tested after all others, one at a time: they measure the memory and the
# descriptors of processes that hundreds of clients use at once.
ALONE := ./platform/hostileclients ./platform/hostilepeers ./cmd/hostileclients

empty :=
comma := ,
ALONE_LIST := $(subst $(empty) $(empty),$(comma),$(strip $(ALONE)))

# The linter is pinned here and run through the module proxy, so that it is in
# the requirements of no module.
STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2

# The tools stand outside the workspace.
TOOLS_GO := GOWORK=off $(GO) -C tools

.PHONY: all
all: build

.PHONY: build
build: ## the two programs, into bin/
	$(GO) build -trimpath -p $(P) -o $(BIN)/ ./cmd/...

.PHONY: test
test: $(TOOLS)/testrun ## the tests of all modules
	$(TOOLS)/testrun -p $(P) -alone '$(ALONE_LIST)' $(PACKAGES)
	$(TOOLS_GO) test -count=1 -p $(P) ./...

.PHONY: race
race: $(TOOLS)/testrun ## the tests of all modules with the race detector
	$(TOOLS)/testrun -p $(P) -alone '$(ALONE_LIST)' -race $(PACKAGES)

.PHONY: lint
lint: lint-format lint-modules lint-vet lint-staticcheck lint-house ## all linters

.PHONY: lint-format
lint-format:
	@unformatted=$$(gofmt -l $(SOURCES)); \
	if [ -n "$$unformatted" ]; then echo "gofmt is due:"; echo "$$unformatted"; exit 1; fi

.PHONY: lint-modules
lint-modules: ## each go.mod names what its module imports, and nothing else
	@untidy=0; for module in $(SOURCES); do \
		GOWORK=off $(GO) -C $$module mod tidy -diff || { echo "$$module/go.mod: go mod tidy is due"; untidy=1; }; \
	done; exit $$untidy

.PHONY: lint-vet
lint-vet:
	$(GO) vet -p $(P) $(PACKAGES)
	$(TOOLS_GO) vet -p $(P) ./...

.PHONY: lint-staticcheck
lint-staticcheck:
	GOMAXPROCS=$(P) $(GO) run $(STATICCHECK) $(PACKAGES)
	cd tools && GOWORK=off GOMAXPROCS=$(P) $(GO) run $(STATICCHECK) ./...

.PHONY: lint-house
lint-house: $(TOOLS)/housecheck
	$(TOOLS)/housecheck .

.PHONY: fuzz
fuzz: ## every fuzz target for FUZZTIME
	@GO="$(GO)" tools/fuzz $(P) $(FUZZTIME) $(PACKAGES)

.PHONY: generate
generate: ## the committed generated files
	$(GO) generate $(PACKAGES)

.PHONY: demo
demo: build ## a small fleet on this machine, with stand-ins of the platform
	$(GO) run ./standin/cmd/demo

.PHONY: bench
bench: build ## the measurements of the design notes
	$(GO) run ./standin/cmd/bench

# Seeds of the soaks: how many, from which on, and the seconds for each.
SEEDS ?= 50
FIRST ?= 1
SECONDS ?= 15

.PHONY: soak
soak: ## a seeded soak before servers that crash and limit themselves; SEEDS, FIRST, SECONDS
	SOAK_SEEDS=$(SEEDS) SOAK_FIRST=$(FIRST) SOAK_SECONDS=$(SECONDS) \
		$(GO) test -v -count=1 -timeout 2h ./platform -ginkgo.focus='A soak violates'

.PHONY: versionsoak
versionsoak: ## a seeded soak of version changes beside faults of engines, agents and origin; SEEDS, FIRST, SECONDS
	SOAK_SEEDS=$(SEEDS) SOAK_FIRST=$(FIRST) SOAK_SECONDS=$(SECONDS) \
		$(GO) test -v -count=1 -timeout 2h ./platform -ginkgo.v -ginkgo.focus='A soak of version changes'

.PHONY: stopsoak
stopsoak: ## a seeded soak of planned stops beside clients of many kinds; SEEDS, FIRST, SECONDS
	SOAK_SEEDS=$(SEEDS) SOAK_FIRST=$(FIRST) SOAK_SECONDS=$(SECONDS) \
		$(GO) test -v -count=1 -timeout 2h ./platform -ginkgo.v -ginkgo.focus='A soak of stops'

.PHONY: capacity
capacity: build ## the slopes of docs/CAPACITY.md
	$(GO) run ./standin/cmd/capacity

.PHONY: ablation
ablation: $(TOOLS)/ablation ## what each mechanism is worth, played by the program BENCH on the site files SITES
	$(TOOLS)/ablation --bench $(BENCH) --sites $(SITES)

.PHONY: versions
versions: ## what the checks run with
	@$(GO) version
	@$(MAKE) --version | head -n 1
	@$(GO) run $(STATICCHECK) -version

# The tools are built each time; go build does nothing if they are current.
.PHONY: $(TOOLS)/testrun $(TOOLS)/housecheck $(TOOLS)/ablation
$(TOOLS)/testrun $(TOOLS)/housecheck $(TOOLS)/ablation:
	@$(TOOLS_GO) build -p $(P) -o ../$(TOOLS)/ ./$(notdir $@)

.PHONY: clean
clean: ## what the other targets leave
	rm -rf $(BIN)

.PHONY: help
help: ## this list
	@sed -n 's/^\([a-z]*\):.*## \(.*\)/\1\t\2/p' $(MAKEFILE_LIST)
