# Common tasks; each works on a machine with only Go and make.
GO ?= go
MODULES := coord daemon platform
SEED ?= 1
DURATION ?= 30s
# Tests that fail because of a known fault; "test" passes over them and prints them.
KNOWN_RED := $(shell sed -n 's/^test: \(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

.PHONY: build test lint fmt generate tools demo soak bench fuzz

build:
	cd daemon && $(GO) build -o ../bin/ ./cmd/...

test:
	@$(if $(KNOWN_RED),echo "passed over by KNOWN-RED.txt: $(KNOWN_RED)")
	@for m in $(MODULES); do (cd $$m && $(GO) test $(SKIP) ./...) || exit 1; done
	@# The cache of test results does not see changes of files outside the module.
	@cd daemon && $(GO) test -count=1 -run Pages ./ctl

# Each fuzz target runs on FUZZ_TIME fresh inputs, or for that time. At the end of a time Go's
# fuzzing engine now and then fails with "context deadline exceeded", whatever the target is.
FUZZ_TIME ?= 400000x
# A check of a configuration, or a message to an edge process, takes some hundred times as long
# as a read of a response.
CHECK_FUZZ_TIME ?= 20000x
fuzz:
	cd daemon && $(GO) test -run '^$$' -fuzz FuzzResponse -fuzztime $(FUZZ_TIME) ./upstream
	cd daemon && $(GO) test -run '^$$' -fuzz FuzzEventReader -fuzztime $(FUZZ_TIME) ./gateway
	cd daemon && $(GO) test -run '^$$' -fuzz FuzzStoreEntries -fuzztime $(CHECK_FUZZ_TIME) ./edge
	cd daemon && $(GO) test -run '^$$' -fuzz FuzzExchange -fuzztime $(CHECK_FUZZ_TIME) ./edge
	cd platform && $(GO) test -run '^$$' -fuzz FuzzServerEntry -fuzztime $(FUZZ_TIME) .
	@# With the default of 60 s for each input, minimization takes most of the time.
	cd daemon && $(GO) test -run '^$$' -fuzz FuzzCheck -fuzztime $(CHECK_FUZZ_TIME) -fuzzminimizetime 50x ./ctl

tools:
	cd tools && GOWORK=off $(GO) build -o ../bin/ tool

lint: tools
	@out=$$(bin/gofumpt -l coord daemon platform | grep -v -E '\.(pb|twirp)\.go$$'); \
	if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	@for m in $(MODULES); do (cd $$m && $(GO) vet ./... && ../bin/staticcheck ./...) || exit 1; done

fmt: tools
	bin/gofumpt -w coord daemon platform

generate: tools
	cd daemon && PATH=$(CURDIR)/bin:$$PATH ../bin/buf generate

demo: build
	bin/cactusctl demo

soak: build
	bin/cactusctl soak -seed $(SEED) -duration $(DURATION)

bench: build
	bin/cactusctl bench -out out
