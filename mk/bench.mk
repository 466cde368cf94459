# Latency that a gate adds and its throughput, compared with direct calls of the engine: make bench.
# make check-bench is a short run for CI, which checks only the bounds on counts and ratios.
.PHONY: bench check-bench
bench: programs standins $(BUILD)/load-stream
	bench/gate.sh $(BUILD)
check-bench: programs standins $(BUILD)/load-stream
	LONG_REQUESTS=2000 ROUNDS=1 bench/gate.sh $(BUILD)

# Processor time that a gate without requests spends on control traffic.
.PHONY: bench-idle
bench-idle: programs standins
	bench/gate_idle.sh $(BUILD)
