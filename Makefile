# Targets for building, testing and measuring; CMake does the build.
BUILD ?= build
JOBS ?= 6
SOURCES = $(shell git ls-files 'packages/*.[ch]' 'platform/*.[ch]' 'apps/*.[ch]' 'bench/*.[ch]' 'examples/*.[ch]' | grep -v /gen/)

FIRST ?= 1
LAST ?= 50
SECONDS ?= 10

.PHONY: soak soak-quick scenarios crowds all setup build test test-asan test-tsan fmt fmt-check lint run bench \
    bench-quick plots capacity clean

all: build

setup:
	sh tools/setup.sh

build: setup
	cmake -S . -B $(BUILD) >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	sh tools/run_tests.sh $(BUILD) $(JOBS)
	sh tools/known_red.sh

test-asan: setup
	cmake -S . -B build-asan -DGGS_SANITIZE=address,undefined >/dev/null
	cmake --build build-asan -j $(JOBS)
	sh tools/run_tests.sh build-asan $(JOBS)

test-tsan: setup
	cmake -S . -B build-tsan -DGGS_SANITIZE=thread >/dev/null
	cmake --build build-tsan -j $(JOBS)
	TSAN_OPTIONS="suppressions=$(CURDIR)/tools/tsan.supp" \
	    sh tools/run_tests.sh build-tsan $(JOBS)

fmt: setup
	clang-format -i $(SOURCES)

fmt-check: setup
	clang-format --dry-run -Werror $(SOURCES)

lint: setup
	sh tools/lint.sh $(BUILD)

scenarios: build crowds
	sh scenarios/run_all.sh

# Clients that keep no limit: one process measured at a time, apart from other
# load.
crowds: build
	$(BUILD)/bench/scenario platform/tests/crowds.lua || \
	    sh tools/known_red.sh test platform/tests/crowds.lua

# Randomized soak test: soak-quick runs the fixed seeds for 6 s each; soak runs
# the seeds FIRST to LAST for SECONDS each.
soak-quick: build
	sh scenarios/soak.sh quick

soak: build
	sh scenarios/soak.sh full $(FIRST) $(LAST) $(SECONDS)

run: build
	sh tools/run.sh

bench: build
	sh bench/bench.sh full

bench-quick: build
	sh bench/bench.sh quick

plots: build
	sh bench/plots.sh

capacity: build
	sh bench/capacity.sh

clean:
	rm -rf $(BUILD) build-asan build-tsan

# Regenerates the committed XDR code from wire.x with rpcgen.
.PHONY: wire
wire:
	cd packages/wire && rm -f gen/wire_xdr.[ch] && \
	    rpcgen -N -C -h -o gen/wire_xdr.h wire.x && \
	    rpcgen -N -C -c -o gen/wire_xdr.c wire.x && \
	    sed -i '/^#include "wire/d' gen/wire_xdr.c && \
	    sed -i '0,/^$$/s//\n#include "wire_xdr.h"\n/' gen/wire_xdr.c
