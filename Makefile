# The daily commands. Everything they need is installed into .venv first.
PYTHON ?= python3
BIN := .venv/bin
READY := .venv/ready

.PHONY: demo test bench check format soak soak-hosted slopes proto

$(READY): pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(READY)

demo: $(READY)
	$(BIN)/bronzehold demo

test: $(READY) check
	$(BIN)/python tests/run_known_red.py -n 3 --dist worksteal

check: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(READY)
	$(BIN)/python -m bench.run

soak: $(READY)
	$(BIN)/bronzehold soak --seed $(or $(SEED),1) --seconds $(or $(SECONDS),60)

soak-hosted: $(READY)
	$(BIN)/python -m bench.soak.run --seed $(or $(SEED),1) \
	  --seconds $(or $(SECONDS),30) --seeds $(or $(SEEDS),1) \
	  --scenario $(or $(SCENARIO),all)

slopes: $(READY)
	$(BIN)/python -m bench.slopes

proto: $(READY)
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
	  --grpc_python_out=. bronzehold/proto/etcd.proto bronzehold/proto/peer.proto
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
	  bronzehold/proto/gossip.proto bronzehold/proto/forward.proto
