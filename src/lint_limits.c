/* Checks for limits out of range and limits that contradict each other. */
#include "lint_checks.h"
#include <limits.h>

#define TIME_MAX_MS        86400000  /* a request, a pause or an idle connection of a day */
#define HEADER_MIN_BYTES   256       /* a request line and the fields that every caller sends */
#define HEADER_MAX_BYTES   1048576   /* a VM holds the heads of all requests in memory */
#define BODY_MAX_BYTES     268435456 /* a VM holds the bodies of all requests in memory */
#define PRIORITY_LAST      9
#define ATTEMPTS_SENSIBLE  10
#define SLOTS_SENSIBLE     100000
#define CACHE_MAX_TOKENS   1000000000000 /* model cache of one server */
#define HEADER_WAIT_MAX_MS 3600000

LINT_CHECK (lint_version)
{
  if (config->version <= 0)
    lint_report_add_at (report, check->severity, check->name, &(LintPlace){ .field = LINT_VERSION },
                        "version %lld is not above 0: fronts that have a configuration keep theirs",
                        (long long)config->version);
}

typedef struct
{
  LintField field;
  const char *what;
  const char *unit;
  int64_t min, max;
} Range;

static void
check_range (const LintCheck *check,
             const Range *range,
             int64_t value,
             LintPart part,
             unsigned index,
             LintReport *report)
{
  const LintPlace place = { .part = part, .index = index, .field = range->field };

  if (value < range->min || value > range->max)
    lint_report_add_at (report, check->severity, check->name, &place,
                        "%s of %lld%s is outside of %lld to %lld%s", range->what, (long long)value,
                        range->unit, (long long)range->min, (long long)range->max, range->unit);
}

static void
check_limits (const LintCheck *check, const FrontLimits *limits, LintReport *report)
{
  static const Range head
      = { LINT_HEADER_BYTES, "a largest head", " bytes", HEADER_MIN_BYTES, HEADER_MAX_BYTES };
  static const Range body = { LINT_BODY_BYTES, "a largest body", " bytes", 1, BODY_MAX_BYTES };
  static const Range head_wait
      = { LINT_HEADER_TIMEOUT, "a wait for the head", " ms", 1, HEADER_WAIT_MAX_MS };
  static const Range idle = { LINT_IDLE_TIMEOUT, "an idle time", " ms", 1, TIME_MAX_MS };

  check_range (check, &head, limits->header_max_bytes, LINT_LIMITS, 0, report);
  check_range (check, &body, limits->body_max_bytes, LINT_LIMITS, 0, report);
  check_range (check, &head_wait, limits->header_timeout_ms, LINT_LIMITS, 0, report);
  check_range (check, &idle, limits->idle_timeout_ms, LINT_LIMITS, 0, report);
}

static void
check_route (const LintCheck *check, const FrontRoute *route, unsigned i, LintReport *report)
{
  static const Range timeout = { LINT_TIMEOUT, "a time-out", " ms", 1, TIME_MAX_MS };
  static const Range objective = { LINT_OBJECTIVE, "an objective", " ms", 1, TIME_MAX_MS };
  static const Range gap = { LINT_GAP, "a longest pause", " ms", 1, TIME_MAX_MS };
  static const Range priority = { LINT_PRIORITY, "a priority", "", 0, PRIORITY_LAST };

  check_range (check, &timeout, route->timeout_ms, LINT_ROUTE, i, report);
  /* An objective that is not given is the time-out. */
  if (route->objective_ms != route->timeout_ms)
    check_range (check, &objective, route->objective_ms, LINT_ROUTE, i, report);
  check_range (check, &priority, route->priority, LINT_ROUTE, i, report);
  if (route->kind == ROUTE_STREAM)
    check_range (check, &gap, route->gap_ms, LINT_ROUTE, i, report);
}

LINT_CHECK (lint_ranges)
{
  static const Range priority = { LINT_PRIORITY, "a priority", "", 0, PRIORITY_LAST };
  static const Range slots = { LINT_SLOTS, "a number of slots", "", 1, SLOTS_SENSIBLE };
  static const Range cache = { LINT_CACHE, "a cache", " tokens", 0, CACHE_MAX_TOKENS };

  check_limits (check, &config->limits, report);
  for (unsigned i = 0; i < config->route_count; i++)
    check_route (check, &config->routes[i], i, report);
  for (unsigned i = 0; i < config->team_count; i++)
    {
      /* A negative one stands for none. */
      if (config->teams[i].priority >= 0)
        check_range (check, &priority, config->teams[i].priority, LINT_TEAM, i, report);
    }
  for (unsigned i = 0; i < config->service_count; i++)
    {
      const FrontService *service = &config->services[i];

      check_range (check, &cache, service->kv_tokens, LINT_SERVICE, i, report);
      /* A negative number, which is read as a very large one, is reported with the text. */
      if (service->slots > 0 && service->slots <= INT_MAX)
        check_range (check, &slots, service->slots, LINT_SERVICE, i, report);
    }
}

LINT_CHECK (lint_objectives)
{
  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *route = &config->routes[i];
      const LintPlace place = { .part = LINT_ROUTE, .index = i, .field = LINT_OBJECTIVE };

      if (route->objective_ms > route->timeout_ms)
        lint_report_add_at (report, check->severity, check->name, &place,
                            "route \"%s\": the objective of %lld ms is longer than the time-out of "
                            "%lld ms",
                            route->name, (long long)route->objective_ms,
                            (long long)route->timeout_ms);
    }
}

LINT_CHECK (lint_pauses)
{
  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *route = &config->routes[i];
      const LintPlace place = { .part = LINT_ROUTE, .index = i, .field = LINT_GAP };

      if (route->kind == ROUTE_STREAM && route->gap_ms > route->timeout_ms)
        lint_report_add_at (report, check->severity, check->name, &place,
                            "route \"%s\": a pause of %lld ms is longer than the time-out of %lld "
                            "ms",
                            route->name, (long long)route->gap_ms, (long long)route->timeout_ms);
    }
}

LINT_CHECK (lint_attempts)
{
  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *route = &config->routes[i];
      const LintPlace place = { .part = LINT_ROUTE, .index = i, .field = LINT_ATTEMPTS };

      if (route->attempts_max > ATTEMPTS_SENSIBLE)
        lint_report_add_at (report, check->severity, check->name, &place,
                            "route \"%s\": one request may go to %u servers; more than %d help "
                            "nobody and use up the retry budget",
                            route->name, route->attempts_max, ATTEMPTS_SENSIBLE);
    }
}

LINT_CHECK (lint_attempts_once)
{
  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *route = &config->routes[i];
      const LintPlace place = { .part = LINT_ROUTE, .index = i, .field = LINT_ATTEMPTS };

      if (route->attempts_max > 1 && !front_route_is_idempotent (route))
        lint_report_add_at (report, check->severity, check->name, &place,
                            "route \"%s\": its requests may run only once, so the %u attempts are "
                            "used only after servers that vouch that they didn't run it",
                            route->name, route->attempts_max);
    }
}

LINT_CHECK (lint_resumable)
{
  for (unsigned i = 0; i < config->route_count; i++)
    {
      const FrontRoute *route = &config->routes[i];
      const LintPlace place = { .part = LINT_ROUTE, .index = i, .field = LINT_RESUMABLE };

      if (route->resumable && route->kind != ROUTE_STREAM)
        lint_report_add_at (report, check->severity, check->name, &place,
                            "route \"%s\" is no stream: there is nothing to resume", route->name);
    }
}

LINT_CHECK (lint_cold_starts)
{
  for (unsigned i = 0; i < config->service_count; i++)
    {
      const FrontService *service = &config->services[i];
      const LintPlace place = { .part = LINT_SERVICE, .index = i, .field = LINT_COLD_RATE };

      if (service->cold_per_s > 0 && service->cold_start_ms == 0)
        lint_report_add_at (report, check->severity, check->name, &place,
                            "service \"%s\" has a rate for cold servers but no cold time",
                            service->name);
    }
}
