# Randomised run of the cluster protocol: make steps SEED=1 STEPS=10000000
SEED ?= 1
STEPS ?= 10000000
STEPS_OBJECTS = $(call obj,$(filter-out bench/steps_main.c,$(wildcard bench/steps_*.c)))

$(BUILD)/steps: $(call obj,bench/steps_main.c) $(STEPS_OBJECTS) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@
$(BUILD)/test_cluster_steps: $(call obj,tests/test_cluster_steps.c $(TEST_HELPERS)) \
  $(STEPS_OBJECTS) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -lcunit -o $@

steps: $(BUILD)/steps
	$(BUILD)/steps $(SEED) $(STEPS)

.PHONY: steps

# Removes each guard that mk/mutations.txt lists, one at a time: the run named for it must then fail.
mutations:
	mk/mutations.sh

.PHONY: mutations
