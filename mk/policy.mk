# Measurements of routing decisions: tables that compare policies with baselines, and instructions per
# decision.
.PHONY: plot-policy bench-policy bench-decision check-policy check-decision
.PHONY: bench-front plot-front check-front

bench-policy: $(BUILD)/bench_policy
	$(BUILD)/bench_policy all

# The same as a plot, docs/design/policy.svg.
plot-policy: $(BUILD)/bench_policy
	$(BUILD)/bench_policy data > $(BUILD)/policy.data
	gnuplot -e "data='$(BUILD)/policy.data'; out='docs/design/policy.svg'" bench/plot_policy.gp

# Bounds on the same tables with one seed; part of CI.
check-policy: $(BUILD)/bench_policy
	$(BUILD)/bench_policy check

# The same for lovage-front: a simulated platform's site with lovage-front's own modules on a virtual
# clock.
bench-front: $(BUILD)/bench_front
	$(BUILD)/bench_front

# As a plot, docs/design/front.svg.
plot-front: $(BUILD)/bench_front
	$(BUILD)/bench_front data > $(BUILD)/front.data
	gnuplot -e "data='$(BUILD)/front.data'; out='docs/design/front.svg'" bench/plot_front.gp

# Checks that lovage-front earns more than simpler policies, by the margin that each scenario requires;
# part of CI.
check-front: $(BUILD)/bench_front
	$(BUILD)/bench_front check

# Instructions per decision, counted by callgrind: the same on every machine, except that the C library
# selects variants of its functions by processor.
DECISIONS = 500
DECISION_BOUND = 20000
DECISION_COLD_BOUND = 27000
DECISION_RUN = valgrind --tool=callgrind --callgrind-out-file=/dev/null \
  --toggle-collect=decide_many $(BUILD)/bench_decision
DECISION_COUNT = 2>&1 | awk '/Collected/ { printf "%d", $$4 / $(DECISIONS) }'

bench-decision: $(BUILD)/bench_decision
	@printf '%-8s %-8s %-8s %8s %8s %8s %8s %8s\n' servers versions teams admit plan pick all cold
	@for site in "24 4 10" "24 27 10" "24 4 200" "660 4 10" "660 27 10" "660 27 200"; do \
	  printf '%-8s %-8s %-8s' $$site; \
	  for part in admit plan pick all; do \
	    printf ' %8s' "$$($(DECISION_RUN) $$site $(DECISIONS) $$part $(DECISION_COUNT))"; \
	  done; \
	  printf ' %8s\n' "$$($(DECISION_RUN) $$site $(DECISIONS) all cold $(DECISION_COUNT))"; \
	done

# Bounds on the largest site; part of CI.
check-decision: $(BUILD)/bench_decision
	@count="$$($(DECISION_RUN) 660 27 200 $(DECISIONS) all $(DECISION_COUNT))"; \
	cold="$$($(DECISION_RUN) 660 27 200 $(DECISIONS) all cold $(DECISION_COUNT))"; \
	echo "instructions a decision: $$count, bound $(DECISION_BOUND); nothing learned yet: $$cold, bound $(DECISION_COLD_BOUND)"; \
	test "$$count" -gt 0 -a "$$count" -le $(DECISION_BOUND) \
	  -a "$$cold" -gt 0 -a "$$cold" -le $(DECISION_COLD_BOUND)
