# The load tool: streamed requests against a gate or an engine.
$(BUILD)/load-stream: $(call obj,$(wildcard bench/load_*.c)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@
