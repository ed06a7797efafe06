# Tool versions. Tools are installed once into TOOLS and shared between checkouts.
GOLANGCI_VERSION := v2.15.0
GOFUMPT_VERSION  := v0.12.0
GOPLS_VERSION    := v0.23.0
TOOLS ?= $(HOME)/.cache/umberhill-tools
BIN   := bin
GO    ?= go

GOLANGCI := $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION)
GOFUMPT  := $(TOOLS)/gofumpt-$(GOFUMPT_VERSION)
GOPLS    := $(TOOLS)/gopls-$(GOPLS_VERSION)

.PHONY: all build test fmt fmt-check lint unit gopls proto demo measure soak soak-streams fuzz fuzz-input clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# test is the command that CI runs: format check, linter, build and all tests.
test: fmt-check lint build unit

$(GOLANGCI):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS)/tmp-lint $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(TOOLS)/tmp-lint/golangci-lint $@

$(GOFUMPT):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS)/tmp-fumpt $(GO) install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)
	mv $(TOOLS)/tmp-fumpt/gofumpt $@

$(GOPLS):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS)/tmp-gopls $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(TOOLS)/tmp-gopls/gopls $@

# gopls installs the Go language server. Its rename command changes every use of an identifier.
gopls: $(GOPLS)

GOFILES = $(shell git ls-files --cached --others --exclude-standard '*.go' ':!*.pb.go')

fmt: $(GOFUMPT)
	$(GOFUMPT) -w $(GOFILES)

fmt-check: $(GOFUMPT)
	@out="$$($(GOFUMPT) -l $(GOFILES))"; if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint: $(GOLANGCI)
	$(GOLANGCI) run --allow-parallel-runners ./...

# KNOWN_RED_TESTS are the tests that KNOWN-RED.txt names in lines "Test: NAME".
KNOWN_RED_TESTS = $(shell sed -n 's/^ *Test: \([A-Za-z0-9_]*\)$$/\1/p' KNOWN-RED.txt | paste -sd '|')

unit:
	$(GO) test -count=1 -p 4 -timeout 5m $(if $(KNOWN_RED_TESTS),-skip '^($(KNOWN_RED_TESTS))$$') ./...

# proto regenerates the committed protobuf code. It needs protoc and protoc-gen-go.
proto:
	protoc --go_out=. --go_opt=module=github.com/umberhill/umberhill $$(find api -name '*.proto' | sort)

demo: build
	$(BIN)/umberhill-bench demo

# measure prints one row for each figure. ONLY=prefix limits it to figures with that prefix.
measure: build
	@$(BIN)/umberhill-bench measure --only "$(ONLY)"

SECONDS ?= 60
SEED ?= 1
soak: build
	@$(BIN)/umberhill-bench soak --seconds $(SECONDS) --seed $(SEED)

# soak-streams checks every event of streams through umberhilld processes while faults overlap. SOAK=options adds
# options, such as -soak.race.
soak-streams:
	$(GO) test -count=1 ./platform -run 'TestStreamSoak$$' -timeout 0 -v -args -soak.seconds=$(SECONDS) -soak.seed=$(SEED) $(SOAK)

# fuzz runs the schedulers through random faults for SECONDS, with a new seed for each run.
fuzz:
	$(GO) test -count=1 ./test/fairfuzz -run TestFuzz -timeout 0 -args -fairfuzz.seconds=$(SECONDS) -rapid.seed=$(SEED)

# fuzz-input runs each native fuzz target of the input decoders for SECONDS.
FUZZ_TARGETS := internal/peer:FuzzEnvelope internal/peer:FuzzHello internal/peer:FuzzCall internal/peer:FuzzLink \
	internal/node:FuzzReport internal/upstream:FuzzReceive internal/callers:FuzzModelRequest internal/settings:FuzzParse internal/contract:FuzzParse internal/contract:FuzzObjects internal/platform:FuzzDecodeObjects \
	internal/platform:FuzzElementDoesNotHarmOthers platform:FuzzObjectDoesNotHarmOthers internal/jsontext:FuzzSkip internal/jsontext:FuzzUnmarshal
fuzz-input:
	@for t in $(FUZZ_TARGETS); do \
		$(GO) test ./$${t%%:*} -run xxx -fuzz "^$${t##*:}$$" -fuzztime $(SECONDS)s -parallel 2 || exit 1; \
	done

clean:
	rm -rf $(BIN)
