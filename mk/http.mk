# The test of TLS makes its own certificates.
$(BUILD)/test_http_tls: LDLIBS += -lgnutls

# The test of the platform's protocol runs the stand-in's modules in its own process.
$(BUILD)/test_platform: $(call obj,$(filter-out %_main.c,$(wildcard standin/platform_*.c \
  standin/common_*.c)))
$(BUILD)/test_platform: LDLIBS := $(LIB) $(LDLIBS) -lsqlite3

# The test of the stand-in engine calls the engine's modules.
$(BUILD)/test_engine: $(call obj,$(filter-out %_main.c,$(wildcard standin/engine_*.c \
  standin/common_*.c)))
$(BUILD)/test_engine: LDLIBS := $(LIB) $(LDLIBS)
