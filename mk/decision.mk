# Instructions per decision, including the gate's copying of the servers' states; mk/policy.mk measures
# decisions without it.
.PHONY: check-gate-decision

$(BUILD)/bench_decision: $(BUILD)/obj/bench/bench_decision.o $(call obj,$(BENCH_HELPERS)) \
  $(call obj,$(filter-out src/gate_main.c,$(wildcard src/gate_*.c))) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) $(GATE_LIBS) -o $@

# The bound of mk/policy.mk's check-decision, on the largest site.
check-decision: check-gate-decision
check-gate-decision: $(BUILD)/bench_decision
	@count="$$($(DECISION_RUN) 660 27 200 $(DECISIONS) gate $(DECISION_COUNT))"; \
	echo "instructions a decision with the copying of states: $$count, bound $(DECISION_BOUND)"; \
	test "$$count" -gt 0 -a "$$count" -le $(DECISION_BOUND)
