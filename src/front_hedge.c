#include "front_hedge.h"
#include "front_hedge_times.h"
#include "front_hedge_window.h"
#include "util_id.h"
#include "util_memory.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

/* Shares of the objective: until answers are known, a copy is sent after the first, which is
 * earlier than the attempt is given up for its silence; before the second the caller gains nothing
 * by it. */
#define PRIOR_SHARE 0.5
#define EARLY_SHARE 0.4
/* Typical times by which a copy is sent before the objective ends, so that most copies are answered
 * in time. Where answers are so slow that few would be late by then, the objective counts no more.
 */
#define COPY_TIMES  2.0
#define EARLY_TIMES 1.3
/* Bounds of the quantile from which on answers count as late. With a limit between them, about as
 * many answers are late as may get a copy. */
#define QUANTILE_MIN 0.90
#define QUANTILE_MAX 0.98
/* Share of the time passed before a request is considered again, at least: some ten times until
 * most callers leave. */
#define AGAIN_SHARE 0.25
/* Milliseconds without copies after a server had no room. */
#define FULL_PAUSE_MS 1000

typedef struct
{
  struct cds_list_head node;
  uint64_t route;
  HedgeTimes times;
} Kind;

typedef struct
{
  struct cds_list_head node;
  char *name;
  HedgeWindow window;
  int64_t full_until_ms;
  struct cds_list_head kinds;
} Service;

struct FrontHedge
{
  struct cds_list_head services;
  uint64_t seed;
  double share;
};

static const char *const verdict_names[HEDGE_VERDICTS] = {
  [HEDGE_SEND] = "copy",
  [HEDGE_OFF] = "off",
  [HEDGE_NOT_REPEATABLE] = "not_repeatable",
  [HEDGE_TOO_EARLY] = "too_early",
  [HEDGE_QUARANTINED] = "quarantined",
  [HEDGE_ATTEMPTS] = "attempts",
  [HEDGE_ROLLOUT] = "rollout",
  [HEDGE_SERVICE_FULL] = "service_full",
  [HEDGE_LIMIT] = "limit",
  [HEDGE_NO_SERVER] = "no_server",
  [HEDGE_NOT_SOONER] = "not_sooner",
  [HEDGE_NO_BUDGET] = "no_budget",
};

const char *
front_hedge_verdict_name (HedgeVerdict verdict)
{
  return verdict_names[verdict];
}

FrontHedge *
front_hedge_new (uint64_t seed)
{
  FrontHedge *hedge = memory_alloc (sizeof *hedge);

  CDS_INIT_LIST_HEAD (&hedge->services);
  hedge->seed = seed;
  return hedge;
}

static void
service_free (Service *service)
{
  Kind *kind, *next;

  cds_list_for_each_entry_safe (kind, next, &service->kinds, node)
  {
    free (kind);
  }
  free (service->name);
  free (service);
}

void
front_hedge_free (FrontHedge *hedge)
{
  Service *service, *next;

  cds_list_for_each_entry_safe (service, next, &hedge->services, node)
  {
    service_free (service);
  }
  free (hedge);
}

void
front_hedge_set_share (FrontHedge *hedge, double share)
{
  hedge->share = share;
}

static Service *
service_of (FrontHedge *hedge, const char *name)
{
  Service *service;

  cds_list_for_each_entry (service, &hedge->services, node)
  {
    if (strcmp (service->name, name) == 0)
      return service;
  }
  service = memory_alloc (sizeof *service);
  service->name = memory_strdup (name);
  service->window.seed = id_hash_string (name, hedge->seed);
  CDS_INIT_LIST_HEAD (&service->kinds);
  cds_list_add_tail (&service->node, &hedge->services);
  return service;
}

static HedgeTimes *
times_of (FrontHedge *hedge, const HedgeKind *key)
{
  Service *service = service_of (hedge, key->service);
  Kind *kind;

  cds_list_for_each_entry (kind, &service->kinds, node)
  {
    if (kind->route == key->route)
      return &kind->times;
  }
  kind = memory_alloc (sizeof *kind);
  kind->route = key->route;
  cds_list_add_tail (&kind->node, &service->kinds);
  return &kind->times;
}

bool
front_hedge_is_on (const FrontHedge *hedge)
{
  return hedge->share > 0;
}

void
front_hedge_count_request (FrontHedge *hedge, const char *service, int64_t now_ms)
{
  if (!front_hedge_is_on (hedge))
    return;
  hedge_window_count_request (&service_of (hedge, service)->window, now_ms);
}

void
front_hedge_count_full (FrontHedge *hedge, const char *service, int64_t now_ms)
{
  if (!front_hedge_is_on (hedge))
    return;
  service_of (hedge, service)->full_until_ms = now_ms + FULL_PAUSE_MS;
}

uint64_t
front_hedge_answered (FrontHedge *hedge, const HedgeKind *kind, double ms)
{
  double quantile = fmin (fmax (1 - hedge->share, QUANTILE_MIN), QUANTILE_MAX);

  return hedge_times_add (times_of (hedge, kind), ms, quantile);
}

void
front_hedge_replace (FrontHedge *hedge, const HedgeKind *kind, uint64_t number, double ms)
{
  hedge_times_replace (times_of (hedge, kind), number, ms);
}

double
front_hedge_delay_ms (FrontHedge *hedge, const HedgeKind *kind, int64_t objective_ms)
{
  const HedgeTimes *times = times_of (hedge, kind);
  double typical_ms = hedge_times_typical (times);
  double late_ms = hedge_times_late (times);
  double last_ms = (double)objective_ms - COPY_TIMES * typical_ms;

  if (typical_ms <= 0)
    return PRIOR_SHARE * (double)objective_ms;
  if (last_ms >= EARLY_TIMES * typical_ms)
    late_ms = fmin (late_ms, last_ms);
  return fmax (late_ms, EARLY_SHARE * (double)objective_ms);
}

double
front_hedge_left_ms (FrontHedge *hedge, const HedgeKind *kind, double elapsed_ms)
{
  return hedge_times_left (times_of (hedge, kind), elapsed_ms);
}

bool
front_hedge_is_provisional (HedgeVerdict verdict)
{
  return verdict == HEDGE_NOT_SOONER || verdict == HEDGE_NO_SERVER;
}

double
front_hedge_again_ms (FrontHedge *hedge, const HedgeKind *kind, double elapsed_ms)
{
  return fmax (front_hedge_left_ms (hedge, kind, elapsed_ms), AGAIN_SHARE * elapsed_ms);
}

/* Verdict on the server of a copy. */
static HedgeVerdict
judge_server (FrontHedge *hedge, const HedgeCase *c)
{
  HedgeForecast forecast = c->forecast (c->user);
  const HedgeTimes *times = times_of (hedge, &c->kind);
  double copy_ms = hedge_times_typical (times) + forecast.extra_ms;

  if (!forecast.has_server)
    return HEDGE_NO_SERVER;
  if (forecast.is_full)
    return HEDGE_SERVICE_FULL;
  if (copy_ms >= fmin (hedge_times_left (times, c->elapsed_ms), c->remaining_ms))
    return HEDGE_NOT_SOONER;
  return HEDGE_SEND;
}

HedgeVerdict
front_hedge_decide (FrontHedge *hedge, const HedgeCase *c, int64_t now_ms)
{
  Service *service = service_of (hedge, c->kind.service);
  HedgeVerdict verdict;

  if (!front_hedge_is_on (hedge))
    return HEDGE_OFF;
  if (!c->is_idempotent)
    return HEDGE_NOT_REPEATABLE;
  if (c->elapsed_ms < front_hedge_delay_ms (hedge, &c->kind, c->objective_ms))
    return HEDGE_TOO_EARLY;
  if (c->is_quarantined)
    return HEDGE_QUARANTINED;
  if (!c->has_attempts)
    return HEDGE_ATTEMPTS;
  if (c->is_in_rollout)
    return HEDGE_ROLLOUT;
  if (now_ms < service->full_until_ms)
    return HEDGE_SERVICE_FULL;
  if (!hedge_window_allows (&service->window, hedge->share, now_ms))
    return HEDGE_LIMIT;
  verdict = judge_server (hedge, c);
  if (verdict != HEDGE_SEND)
    return verdict;
  if (!c->take_budget (c->user))
    return HEDGE_NO_BUDGET;
  hedge_window_count_copy (&service->window, now_ms);
  return HEDGE_SEND;
}

bool
front_hedge_limit_is_news (FrontHedge *hedge, const char *service, int64_t now_ms)
{
  HedgeWindow *window = &service_of (hedge, service)->window;

  if (window->reached_ms != 0 && now_ms - window->reached_ms < HEDGE_WINDOW_MS)
    return false;
  window->reached_ms = now_ms;
  return true;
}
