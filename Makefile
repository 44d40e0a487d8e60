# Entry points. `make run` and `make test` set up everything they need.
PLACE ?= consortium
DURATION_S ?= 15
SEED ?= 1
FAULT ?= none
JOBS ?= $(shell nproc)

.PHONY: run test measure build install format

run: build
	tools/run-fleet.sh --place $(PLACE) --duration-s $(DURATION_S) --seed $(SEED) --fault none

measure: build
	tools/run-fleet.sh --place $(PLACE) --duration-s $(DURATION_S) --seed $(SEED) --fault $(FAULT)

test: build
	tools/run-tests.sh build

build: install
	cmake --preset release >/dev/null
	cmake --build build --parallel $(JOBS)

install:
	tools/install-packages.sh

format:
	git ls-files '*.cpp' '*.hpp' | grep -v generated | xargs clang-format -i
