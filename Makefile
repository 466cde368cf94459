# lovagehub: see README.md. Targets: all, check, unit, regress, lint, demo, site, bench*, soak.
BUILD ?= build
CC ?= gcc
PKGS = libmicrohttpd neon liburcu libtirpc json-c libsodium libxxhash gsl gnutls
CPPFLAGS += -D_GNU_SOURCE -Isrc -Irpc -Iplatform $(foreach p,$(PKGS) $(FRONT_PKGS),$(shell pkg-config --cflags $(p) 2>/dev/null))
CFLAGS ?= -O2 -g
CFLAGS += -std=gnu11 -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
  -Wno-unused-parameter -Werror -fno-strict-aliasing -pthread -MMD -MP $(SANITIZE)
LDFLAGS += -pthread $(SANITIZE)
LDLIBS = $(shell pkg-config --libs $(PKGS)) -lm

# Modules that every program may use; a program's own files have its prefix.
BASE = $(wildcard src/util_*.c src/settings*.c src/config*.c src/platform*.c src/rpc_*.c \
  src/cluster*.c src/choose*.c src/bill*.c src/claim*.c src/http_*.c src/session*.c)
RPC = rpc/lovage_xdr.c rpc/lovage_clnt.c
PROGRAMS = lovage-gate lovage-steward lovagectl lovage-front lovage-config
# Libraries of lovage-gate's TLS and HTTP filter between the callers and libmicrohttpd.
GATE_PKGS = libevent libevent_pthreads libevent_openssl libssl libcrypto
GATE_LIBS = $(shell pkg-config --libs $(GATE_PKGS)) -lhttp_parser
# Libraries and modules of lovage-front besides src/front_*.c: few, because its memory has a cost.
FRONT_PKGS = libevent json-c libsodium libxxhash libtirpc zlib
FRONT_LIBS = $(shell pkg-config --libs $(FRONT_PKGS)) -lhttp_parser -lm
FRONT_SHARED = $(wildcard src/util_*.c src/settings_arguments.c \
  src/http_head.c src/http_request_parser.c src/http_reply.c src/http_arrival.c src/choose_quarantine.c src/choose_quarantine_report.c \
  src/choose_quarantine_suspects.c src/choose_quarantine_cause.c)
FRONT_PARTS = $(filter-out src/front_main.c,$(wildcard src/front*.c)) src/settings_front.c \
  $(filter-out $(LINT_WIRE),$(wildcard platform/*.c))
# Modules of lovage-config besides its main; it decodes by the modules of lovage-front.
LINT_WIRE = $(wildcard platform/wire_lint*.c platform/wire_place*.c)
LINT_PARTS = $(filter-out src/lint_main.c,$(wildcard src/lint*.c)) $(LINT_WIRE) \
  platform/wire_config.c platform/wire_json.c platform/wire_store.c src/front_config.c src/front_urgency.c \
  src/front_channel.c src/front_socket.c src/front_link.c src/front_row.c src/front_table.c
LINT_SHARED = $(wildcard src/util_*.c) src/http_head.c src/http_reply.c
LINT_LIBS = $(shell pkg-config --libs json-c libsodium libxxhash libevent) -lhttp_parser -lm
STANDINS = standin-platform standin-engine standin-service
TESTS = $(patsubst tests/%.c,%,$(wildcard tests/test_*.c))
TEST_HELPERS = tests/suite.c $(wildcard tests/fake_*.c)
FRONT_TEST_HELPERS = tests/front_node.c tests/front_world.c
BENCHES = $(patsubst bench/%.c,%,$(wildcard bench/bench_*.c))
BENCH_HELPERS = $(wildcard bench/model_*.c)

obj = $(patsubst %.c,$(BUILD)/obj/%.o,$(1))
LIB = $(BUILD)/liblovage.a

all: programs standins
programs: $(PROGRAMS:%=$(BUILD)/%)
front: $(BUILD)/lovage-front
standins: $(STANDINS:%=$(BUILD)/%)
tests: $(TESTS:%=$(BUILD)/%)
# An explicit prerequisite: make doesn't apply the rule for objects twice in one chain of pattern rules.
$(BUILD)/test_front_era $(BUILD)/test_front_time $(BUILD)/test_front_evacuations $(BUILD)/test_front_bootstrap \
$(BUILD)/test_front_pages $(BUILD)/test_front_places $(BUILD)/test_front_verdict_write: $(call obj,$(FRONT_TEST_HELPERS))
$(BUILD)/test_front_hedge $(BUILD)/test_front_hedge_load: $(call obj,tests/hedge_load.c)
$(filter $(BUILD)/test_front_request_%,$(TESTS:%=$(BUILD)/%)): $(call obj,tests/front_fakes.c tests/hedge_site.c)
$(BUILD)/test_lint_checks $(BUILD)/test_lint_diff $(BUILD)/test_lint_mutations: $(call obj,tests/lint_document.c)
$(BUILD)/test_front_pick $(BUILD)/test_front_pick_prompts $(BUILD)/test_front_pick_late: $(call obj,tests/pick_world.c)
$(BUILD)/test_front_rollouts $(BUILD)/test_front_rollouts_base $(BUILD)/test_front_rollouts_verdict: $(call obj,tests/rollouts_world.c)
$(BUILD)/test_front_peers $(BUILD)/test_front_peers_sessions: $(call obj,tests/peers_net.c)
$(BUILD)/test_lint_%: LDLIBS += $(LINT_LIBS)
benches: $(BENCHES:%=$(BUILD)/%)

$(BUILD)/obj/rpc/%.o: CFLAGS += -Wno-unused-variable -Wno-missing-prototypes \
  -Wno-cast-function-type
# Libraries that the requested targets need: lovage-front can be built alone, without the others.
NEEDED = liburcu $(FRONT_PKGS) $(if $(filter front,$(MAKECMDGOALS)),,$(PKGS) $(GATE_PKGS))
.PHONY: libraries
libraries:
	@missing=$$(for p in $(NEEDED); do pkg-config --exists $$p || echo $$p; done 2>/dev/null | sort -u); \
	if [ -n "$$missing" ]; then \
	  echo "libraries that pkg-config doesn't find:" $$missing >&2; \
	  echo "tools/install.sh, run by root, installs what is needed" >&2; exit 1; fi

$(BUILD)/obj/%.o: %.c | libraries
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -c $< -o $@

$(LIB): $(call obj,$(BASE) $(RPC))
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/lovage-gate: $(call obj,$(wildcard src/gate_*.c)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) $(GATE_LIBS) -o $@
$(BUILD)/lovage-steward: $(call obj,$(wildcard src/steward_*.c)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@
$(BUILD)/lovage-front: $(call obj,src/front_main.c $(FRONT_PARTS) $(FRONT_SHARED))
	$(CC) $(LDFLAGS) -Wl,--as-needed $^ $(FRONT_LIBS) -o $@
$(BUILD)/lovage-config: $(call obj,src/lint_main.c $(LINT_PARTS) $(LINT_SHARED))
	$(CC) $(LDFLAGS) -Wl,--as-needed $^ $(LINT_LIBS) -o $@
$(BUILD)/lovagectl: $(call obj,$(wildcard src/ctl_*.c)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@
$(BUILD)/standin-platform: $(call obj,$(wildcard standin/platform_*.c standin/common_*.c)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -lsqlite3 -o $@
$(BUILD)/standin-engine: $(call obj,$(wildcard standin/engine_*.c standin/common_*.c)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@
$(BUILD)/standin-service: $(call obj,$(wildcard standin/service_*.c standin/common_*.c)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@
# Tests of a program's own modules link all of its modules except its main.
$(BUILD)/test_gate_%: $(BUILD)/obj/tests/test_gate_%.o \
  $(call obj,$(filter-out src/gate_main.c,$(wildcard src/gate_*.c)) $(TEST_HELPERS)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) $(GATE_LIBS) -lcunit -o $@
$(BUILD)/test_steward_%: $(BUILD)/obj/tests/test_steward_%.o \
  $(call obj,$(filter-out src/steward_main.c,$(wildcard src/steward_*.c)) $(TEST_HELPERS)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -lcunit -o $@
$(BUILD)/test_ctl%: $(BUILD)/obj/tests/test_ctl%.o \
  $(call obj,$(filter-out src/ctl_main.c,$(wildcard src/ctl_*.c)) $(TEST_HELPERS)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -lcunit -o $@
$(BUILD)/test_front_%: $(BUILD)/obj/tests/test_front_%.o \
  $(call obj,$(FRONT_PARTS) $(TEST_HELPERS) $(FRONT_TEST_HELPERS)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) $(FRONT_LIBS) -lcunit -o $@
$(BUILD)/test_lint_%: $(BUILD)/obj/tests/test_lint_%.o $(call obj,$(LINT_PARTS) tests/lint_document.c $(TEST_HELPERS)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -lcunit -o $@
# These replace connections, timers and the clock by fakes.
$(BUILD)/test_front_request_%: LDFLAGS += -Wl,--wrap=clock_boot_ms,--wrap=event_new,--wrap=event_add,--wrap=event_del,--wrap=event_free
$(BUILD)/test_front_request_%: $(BUILD)/obj/tests/test_front_request_%.o \
  $(call obj,$(filter-out src/front_accept.c src/front_attempt.c $(wildcard src/front_conn*.c),$(FRONT_PARTS)) tests/front_fakes.c tests/hedge_site.c $(TEST_HELPERS)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) $(FRONT_LIBS) -lcunit -o $@
$(BUILD)/test_%: $(BUILD)/obj/tests/test_%.o $(call obj,$(TEST_HELPERS)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -lcunit -o $@
# The simulation of a platform's site runs lovage-front's own modules.
$(BUILD)/bench_front: $(BUILD)/obj/bench/bench_front.o $(BUILD)/obj/bench/model_event.o \
  $(call obj,$(wildcard bench/front_*.c) $(FRONT_PARTS)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) $(FRONT_LIBS) -o $@
$(BUILD)/bench_%: $(BUILD)/obj/bench/bench_%.o $(call obj,$(BENCH_HELPERS)) $(LIB)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@

# Checks. Each step's output is in $(BUILD)/logs; the last line of check, unit and regress is
# "N passed, N failed".
JOBS ?= $(shell nproc)
# Written $(,) in arguments of call, which a plain comma would separate.
, := ,
# With sanitizers gcc also warns of the code that it adds for them, so only the plain build uses
# -Werror.
SANITIZED = BUILD=build-$(1) SANITIZE="-fsanitize=$(2) -fno-omit-frame-pointer -fno-sanitize-recover=all -Wno-error"
TIDY_SOURCES = $(wildcard src/*.c platform/*.c standin/*.c tests/*.c bench/*.c regress/*.c regress/*/*.c)
FORMAT_SOURCES = $(TIDY_SOURCES) $(wildcard src/*.h platform/*.h standin/*.h tests/*.h bench/*.h regress/*/*.h)
LINT_FLAGS = $(CPPFLAGS) -std=gnu11

check:
	tools/install.sh
	$(MAKE) -j$(JOBS) all tests
	tools/check.sh $(BUILD) unit regress
unit: tests
	tools/check.sh $(BUILD) unit
regress: all
	tools/check.sh $(BUILD) regress
asan:
	$(MAKE) $(call SANITIZED,asan,address$(,)undefined) tests
	tools/check.sh build-asan unit
tsan:
	$(MAKE) $(call SANITIZED,tsan,thread) tests
	TSAN_OPTIONS="suppressions=$(CURDIR)/tools/tsan.supp" tools/check.sh build-tsan unit
# The regression cases with sanitized programs. A process with a finding or a leak ends with a non-zero
# status, which the cases detect when they stop the site.
asan-regress:
	$(MAKE) $(call SANITIZED,asan,address$(,)undefined) all
	tools/check.sh build-asan regress
tsan-regress:
	$(MAKE) $(call SANITIZED,tsan,thread) all
	TSAN_OPTIONS="suppressions=$(CURDIR)/tools/tsan.supp" tools/check.sh build-tsan regress
lint: format-lint tidy cppcheck man-lint
format-lint:
	clang-format --dry-run -Werror $(FORMAT_SOURCES)
tidy:
	@mkdir -p $(BUILD)/logs
	printf '%s\n' $(TIDY_SOURCES) | xargs -P$(JOBS) -n1 tools/tidy.sh $(BUILD)/logs $(LINT_FLAGS)
# cppcheck does not read urcu/list.h; without these definitions it reports the iteration pointer as
# uninitialised.
LIST_WALKS = \
  -D'cds_list_for_each_entry(p,h,m)=while((p=walk(h)))' \
  -D'cds_list_for_each_entry_reverse(p,h,m)=while((p=walk(h)))' \
  -D'cds_list_for_each_entry_rcu(p,h,m)=while((p=walk(h)))' \
  -D'cds_list_for_each_entry_safe(p,n,h,m)=while((p=walk(h))&&(n=walk(p)))'
cppcheck:
	cppcheck --quiet -j$(JOBS) --std=c11 --enable=warning,performance,portability \
	  --error-exitcode=1 --suppressions-list=tools/cppcheck.supp -D_GNU_SOURCE $(LIST_WALKS) \
	  -Isrc -Irpc -Iplatform $(TIDY_SOURCES)
man-lint:
	mandoc -Tlint -Wwarning $(wildcard man/*.[158]) </dev/null
demo:
	tools/install.sh
	$(MAKE) -j$(JOBS) all
	tools/demo.sh $(BUILD)
site:
	tools/install.sh
	$(MAKE) -j$(JOBS) all
	tools/site.sh $(BUILD)

clean:
	rm -rf $(BUILD)

.PHONY: front all programs standins tests benches clean check unit regress asan tsan \
  asan-regress tsan-regress lint format-lint tidy \
  cppcheck man-lint demo site
.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
-include mk/*.mk
