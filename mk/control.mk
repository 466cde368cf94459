# Cost of control traffic per steward, and time until a patch is in force, by number of stewards.
CONTROL_COUNTS ?= 3 9 18 36 72 144
CONTROL_WINDOW_S ?= 20
CONTROL_PATCHES ?= 100

bench-control: programs standins
	bench/control.sh $(BUILD) $(CONTROL_WINDOW_S) $(CONTROL_PATCHES) $(CONTROL_COUNTS)

.PHONY: bench-control
