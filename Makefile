# A wrapper around CMake. `make help` lists the targets.
BUILD ?= build
TYPE ?= RelWithDebInfo
JOBS ?= $(shell nproc)
SEEDS ?= 1 50
SOURCES = $(shell git ls-files -c -o --exclude-standard '*.c' '*.h' | grep -v 'pb-c')

all: ## build everything
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=$(TYPE) -DSANITIZE=$(SANITIZE) >$(BUILD).log 2>&1 || { cat $(BUILD).log; exit 1; }
	@rm -f $(BUILD).log
	@cmake --build $(BUILD) -j $(JOBS)

deps: ## install what the build needs (Debian, as root)
	./.ci/deps

test: all ## build and run every test
	./test/run $(BUILD)

demo: ## install, build, run a small deployment and check its guarantees
	@./.ci/deps >/dev/null
	@$(MAKE) --no-print-directory all
	./demo/run $(BUILD)

soak: all ## inject random faults into real processes; SEEDS="FIRST LAST"
	./soak/run $(BUILD) $(SEEDS) 8

bench: all ## measure forwarding, look-ups and server selection
	./bench/run $(BUILD)

decide-bench: all ## compare the policies for placing requests, in simulation
	$(BUILD)/auburnreach-bench decide
	$(BUILD)/auburnreach-bench fleet bench/patterns/*.json

UPGRADE_FROM = $(or $(FROM),$(shell cat test/last-landing))
upgrade: all ## upgrade a fleet from an earlier build and back; FROM=COMMIT
	./soak/upgrade $(BUILD) $(UPGRADE_FROM)

slopes: all ## measure how control cost grows with fleet size (about ten minutes)
	./bench/slopes $(BUILD)

control: all ## measure control cost at several fleet sizes (five minutes)
	./bench/control $(BUILD) 10 30 50 100

lint: all ## clang-tidy, cppcheck and the project's own checks
	./.ci/lint $(BUILD)

format: ## format every source file
	clang-format -i $(SOURCES)

check-format: ## fail if a source file is not formatted
	clang-format --dry-run -Werror $(SOURCES)

asan: ## build and test with the address and undefined-behavior sanitizers
	$(MAKE) all BUILD=build-asan TYPE=Debug SANITIZE=address,undefined
	G_SLICE=always-malloc ./test/run build-asan

tsan: ## build and test with the thread sanitizer
	$(MAKE) all BUILD=build-tsan TYPE=Debug SANITIZE=thread
	G_SLICE=always-malloc TSAN_OPTIONS="exitcode=66 suppressions=$(CURDIR)/test/tsan.supp" ./test/run build-tsan

FUZZERS ?= document_fuzz wire_fuzz key_fuzz platform_fuzz head_fuzz framing_fuzz quota_fuzz
FUZZ_RUNS ?= 200000
fuzz: ## fuzz the parsers with a fixed number of inputs (clang)
	@CC=clang cmake -S . -B build-fuzz -DCMAKE_BUILD_TYPE=Debug -DFUZZ=ON >/dev/null
	@cmake --build build-fuzz -j $(JOBS) --target $(FUZZERS)
	./test/fuzz/run build-fuzz $(FUZZ_RUNS)

clean: ## remove build outputs
	rm -rf build build-asan build-tsan build-fuzz demo/out

help: ## list the targets
	@grep -E '^[a-z-]+:.*\#\#' Makefile | sed 's/:.*## /\t/' | expand -t 16

.PHONY: all deps test demo soak upgrade bench decide-bench slopes control lint format check-format asan tsan fuzz clean help
