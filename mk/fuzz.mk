# Fuzzing of the configuration parser with libFuzzer: make fuzz FUZZ_SECONDS=60
FUZZ_SECONDS ?= 60
FUZZ_SEED ?= 1
FUZZ_SOURCES = bench/fuzz_config.c $(wildcard src/config*.c) src/util_assert.c src/util_buffer.c \
  src/util_check.c src/util_field.c src/util_field_parse.c src/util_log.c src/util_memory.c \
  src/util_clock.c

$(BUILD)/fuzz_config: $(FUZZ_SOURCES)
	@mkdir -p $(@D)
	clang $(CPPFLAGS) -std=gnu11 -O1 -g -fsanitize=fuzzer,address,undefined \
	  -fno-sanitize-recover=undefined $(FUZZ_SOURCES) $(LDLIBS) -o $@

fuzz: $(BUILD)/fuzz_config
	@mkdir -p $(BUILD)/fuzz_corpus $(BUILD)/fuzz_found $(BUILD)/logs
	cp examples/*.json $(BUILD)/fuzz_corpus/
	$(BUILD)/fuzz_config -seed=$(FUZZ_SEED) -max_total_time=$(FUZZ_SECONDS) -max_len=16384 \
	  -dict=bench/fuzz_config.dict -artifact_prefix=$(BUILD)/fuzz_found/ -print_final_stats=1 \
	  $(BUILD)/fuzz_corpus >$(BUILD)/logs/fuzz.log 2>&1 \
	  || { tail -n 40 $(BUILD)/logs/fuzz.log; exit 1; }
	tail -n 6 $(BUILD)/logs/fuzz.log

.PHONY: fuzz
