.PHONY: ablation regression policy build test ci bench fuzz generate size capacity

build:
	go build -o bin/jaygw ./cmd/jaygw

test:
	go test ./...

ci:
	bash .ci/run

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Runs the property tests longer, with a fresh seed, which is printed.
fuzz:
	@seed=$$(od -An -N4 -tu4 /dev/urandom | tr -d ' '); echo "JAYGW_SEED=$$seed"; \
	JAYGW_SEED=$$seed JAYGW_CHECKS=2000 go test -count=1 -timeout 60m ./internal/...

generate:
	go generate ./...

# Prints the share of test lines in the code.
size:
	@bash .ci/size

# Prints what each role costs at parts of the target size; see docs/CAPACITY.md.
capacity:
	go run ./cmd/jaygw-capacity

# Prints the measurements of the scheduling policies; JAYGW_SEED changes the seed.
policy:
	@go test -timeout 20m -run '^$$' -bench '^BenchmarkPolicyTable$$' -benchtime 1x ./internal/load/simulator

# Plays the users' sites with their bench and prints a line for each day. FLEETBENCH and
# SITES name the program and the site files; set JOBS lower on a busy machine.
JOBS ?= 3
regression:
	@test -n "$(FLEETBENCH)" && test -n "$(SITES)" || { echo "set FLEETBENCH and SITES"; exit 2; }
	@status=0; for site in $(SITES); do \
	out=$$($(FLEETBENCH) score $$site --jobs $(JOBS) --why "regression"); \
	echo "$$out" | grep -E '^(quiet|trouble|scale|fresh)-.* [0-9]+/|^score |^GATE'; \
	echo "$$out" | grep -q '^GATE passed' || status=1; \
	done; exit $$status

# Prints what each mechanism of the deciding code is worth; see .ci/ablation/run for the variables.
ablation:
	bash .ci/ablation/run
