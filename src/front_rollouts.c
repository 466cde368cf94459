#include "front_rollouts_private.h"
#include "util_memory.h"
#include "util_span.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* First stages of a roll-out, by the service's number of servers. */
typedef struct
{
  unsigned servers; /* minimum */
  /* Share of the sessions that begin on the new version during the first half. A bad version may
   * get at most 15 of 100 requests; eight leave room for retries and for requests in flight when it
   * is stopped, and give the evidence for a verdict within seconds. With many servers there are
   * many requests, and many sessions that were open before the order; a smaller share gives the
   * same number of answers and leaves fewer sessions to report. */
  double share;
  /* Milliseconds after the order in which no session begins on the new version. In that time fronts
   * report to each other the sessions on the old version; without it, such a session changes
   * version when its next request reaches a front that has not seen it. */
  int64_t hold_ms;
  /* Share of the sessions in the second stage, in which few servers get them (front_canary): enough
   * to load one or two, and little of what a bad version may get, as the stage is short. */
  double load_share;
} Stages;

/* Reports reach all of 70 fronts in about ten rounds of messages, 200 ms apart; at 300 fronts and
 * 186 sessions all but one in sixty arrive within 4 s (test_front_peers). */
static const Stages stages[] = {
  { .servers = 120, .share = 0.02, .hold_ms = 4000, .load_share = 0.05 },
  { .servers = 40, .share = 0.04, .hold_ms = 2500, .load_share = 0.15 },
  { .servers = 0, .share = 0.08, .hold_ms = 800, .load_share = 0.5 },
};

/* Parts of the duration after which the second half starts with the second stage, after which that
 * stage ends and the share grows, and after which all sessions have moved; the rest is left for
 * answers in progress on the old version to end. */
#define SECOND_HALF_AT 0.5
#define LOADED_AT      0.6
#define ALL_MOVED_AT   0.72
/* Answers of loaded servers after which the new version's work is spread over all its servers, if
 * none of them failed. */
#define LOADED_ANSWERS 250
/* Milliseconds. Sessions may change version only in the second half, which fronts do not start at
 * the same moment, as the order reaches them at different times. */
#define SECOND_HALF_MARGIN_MS 400
#define SHARE_STEPS           10000 /* resolution of a share of the sessions */

struct FrontRollouts
{
  struct cds_list_head list;
  FrontSessions *sessions;
  uint32_t domain;
};

FrontRollouts *
front_rollouts_new (FrontSessions *sessions, uint32_t domain)
{
  FrontRollouts *rollouts = memory_alloc (sizeof *rollouts);

  CDS_INIT_LIST_HEAD (&rollouts->list);
  rollouts->sessions = sessions;
  rollouts->domain = domain;
  return rollouts;
}

void
front_rollouts_free (FrontRollouts *rollouts)
{
  FrontRollout *rollout, *next;

  cds_list_for_each_entry_safe (rollout, next, &rollouts->list, node)
  {
    free (rollout->peers);
    free (rollout);
  }
  free (rollouts);
}

struct cds_list_head *
front_rollouts_list (FrontRollouts *rollouts)
{
  return &rollouts->list;
}

FrontRollout *
front_rollouts_get (FrontRollouts *rollouts, const char *service)
{
  FrontRollout *rollout;

  cds_list_for_each_entry (rollout, &rollouts->list, node)
  {
    if (strcmp (rollout->service, service) == 0)
      return rollout;
  }
  rollout = memory_alloc (sizeof *rollout);
  snprintf (rollout->service, sizeof rollout->service, "%s", service);
  rollout->service_hash = span_hash (span_of (service));
  rollout->own_domain = rollouts->domain;
  cds_list_add_tail (&rollout->node, &rollouts->list);
  return rollout;
}

static unsigned
servers_of (FrontServers *servers, const char *service, const char *except_version)
{
  FrontServer *server;
  unsigned count = 0;

  cds_list_for_each_entry (server, front_servers_list (servers), node)
  {
    count += server->listed && strcmp (server->entry.service, service) == 0
             && strcmp (server->entry.version, except_version) != 0;
  }
  return count;
}

bool
front_rollout_is_running (const FrontRollout *rollout)
{
  return rollout->ordered && !rollout->is_replaced && rollout->state == FRONT_ROLLOUT_RUNNING;
}

bool
front_rollouts_apply_order (FrontRollouts *rollouts,
                            FrontServers *servers,
                            const RolloutOrder *order,
                            int64_t now_ms)
{
  FrontRollout *rollout = front_rollouts_get (rollouts, order->service);

  if (rollout->ordered && order->row_version <= rollout->order.row_version)
    return false;
  rollout->ordered = true;
  rollout->order = *order;
  rollout->state = FRONT_ROLLOUT_RUNNING;
  rollout->started_ms = now_ms;
  rollout->learned_ms = now_ms;
  rollout->status_version = 0;
  rollout->is_replaced = false;
  rollout->servers = servers_of (servers, order->service, order->target);
  rollout->is_bad = false;
  rollout->finding = (EvidenceFinding){ 0 };
  rollout->logged_bad = false;
  rollout->has_verdict = false;
  rollout->old_busy_ms = 0;
  rollout->running_sum = 0;
  rollout->running_samples = 0;
  rollout->canary_chosen_ms = 0;
  rollout->loaded = (EvidenceLoaded){ 0 };
  rollout->peer_count = 0;
  rollout->domain_count = 0;
  memset (&rollout->evidence, 0, sizeof rollout->evidence);
  rollout->pace = (FrontPace){ 0 };
  if (strcmp (rollout->base, order->target) == 0)
    rollout->base[0] = '\0';
  rollouts_update_base (rollout, servers);
  return true;
}

bool
front_rollouts_repeat_order (FrontRollouts *rollouts, const RolloutOrder *order)
{
  FrontRollout *rollout = front_rollouts_get (rollouts, order->service);

  if (!rollout->ordered || strcmp (rollout->order.target, order->target) != 0
      || rollout->order.duration_ms != order->duration_ms)
    return false;
  if (order->row_version <= rollout->order.row_version)
    return true;
  rollout->order.row_version = order->row_version;
  rollout->is_replaced = false;
  /* Fronts that start take a status from before the order for that of an earlier one. */
  rollout->status_version = 0;
  return true;
}

void
front_rollouts_status_removed (FrontRollouts *rollouts, const char *service)
{
  front_rollouts_get (rollouts, service)->status_version = 0;
}

void
front_rollouts_order_removed (FrontRollouts *rollouts, const char *service)
{
  FrontRollout *rollout = front_rollouts_get (rollouts, service);

  rollout->ordered = false;
}

void
front_rollout_status (const FrontRollout *rollout, RolloutStatus *out)
{
  *out = (RolloutStatus){ .state = rollout->verdict, .started_ms = rollout->started_ms };
  memcpy (out->target, rollout->order.target, sizeof out->target);
  memcpy (out->base, rollout->base, sizeof out->base);
}

/* The order is over, though the one that replaced it has not been read. */
static bool
end_replaced (FrontRollout *rollout, const RolloutStatus *status, int64_t row_version)
{
  bool changed = !rollout->is_replaced;

  rollout->is_replaced = true;
  rollout->has_verdict = false;
  rollouts_learn_base (rollout, status, row_version);
  return changed;
}

bool
front_rollouts_apply_status (FrontRollout *rollout,
                             const RolloutStatus *status,
                             int64_t row_version)
{
  FrontRolloutState state = status->state;
  bool changed;

  if (rollouts_is_of_later_order (rollout, status, row_version))
    return end_replaced (rollout, status, row_version);
  rollouts_learn_base (rollout, status, row_version);
  if (!rollout->ordered || row_version <= rollout->order.row_version
      || row_version <= rollout->status_version
      || strcmp (rollout->order.target, status->target) != 0)
    return false;
  rollout->status_version = row_version;
  rollout->has_verdict = false;
  if (status->started_ms < rollout->started_ms)
    rollout->started_ms = status->started_ms;
  /* A final state does not change. If the status says otherwise, the store lost the final one. */
  if (rollout->state != FRONT_ROLLOUT_RUNNING)
    {
      if (state != rollout->state)
        rollout->status_version = 0;
      return false;
    }
  changed = state != rollout->state;
  rollout->state = state;
  if (state == FRONT_ROLLOUT_COMPLETED)
    snprintf (rollout->base, sizeof rollout->base, "%s", status->target);
  return changed;
}

void
front_rollouts_find_base (FrontRollouts *rollouts, FrontServers *servers)
{
  FrontServer *server;
  FrontRollout *rollout;

  cds_list_for_each_entry (server, front_servers_list (servers), node)
  {
    if (server->listed)
      front_rollouts_get (rollouts, server->entry.service);
  }
  cds_list_for_each_entry (rollout, &rollouts->list, node)
  {
    if (rollout->base[0] == '\0')
      rollouts_find_base (rollout, servers);
  }
}

static const Stages *
stages_of (const FrontRollout *rollout)
{
  const Stages *stage = stages;

  while (rollout->servers < stage->servers)
    stage++;
  return stage;
}

static double
first_stage_share (const FrontRollout *rollout)
{
  return stages_of (rollout)->share;
}

/* Part of the duration that has passed, without the margin. */
static double
passed_part (const FrontRollout *rollout, int64_t now_ms)
{
  return (double)(now_ms - rollout->started_ms - SECOND_HALF_MARGIN_MS)
         / (double)rollout->order.duration_ms;
}

bool
front_rollout_is_first_half (const FrontRollout *rollout, int64_t now_ms)
{
  return now_ms - rollout->started_ms
         < (int64_t)(SECOND_HALF_AT * (double)rollout->order.duration_ms) + SECOND_HALF_MARGIN_MS;
}

bool
front_rollout_is_loading (const FrontRollout *rollout, int64_t now_ms)
{
  double passed = passed_part (rollout, now_ms);

  return front_rollout_is_running (rollout) && passed >= SECOND_HALF_AT && passed < ALL_MOVED_AT
         && (rollout->loaded.answers < LOADED_ANSWERS || rollout->loaded.failed > 0);
}

double
front_rollout_share (const FrontRollout *rollout, int64_t now_ms)
{
  double passed = passed_part (rollout, now_ms);
  double load_share = stages_of (rollout)->load_share;
  double moved;

  if (!rollout->ordered || rollout->is_replaced || rollout->is_bad
      || rollout->state == FRONT_ROLLOUT_ROLLED_BACK)
    return 0;
  if (rollout->state == FRONT_ROLLOUT_COMPLETED)
    return 1;
  if (passed < SECOND_HALF_AT)
    return first_stage_share (rollout);
  if (passed < LOADED_AT)
    return load_share;
  moved = (passed - LOADED_AT) / (ALL_MOVED_AT - LOADED_AT);
  return moved >= 1 ? 1 : load_share + (1 - load_share) * moved;
}

/* Sessions whose hash is below the share begin on the new version. All fronts compare the same
 * hash, so a session keeps its version when it reaches another front. */
static bool
is_in_share (const FrontRollout *rollout, uint64_t session, int64_t now_ms)
{
  double share = front_rollout_share (rollout, now_ms);

  return (double)(session % SHARE_STEPS) < share * SHARE_STEPS;
}

static const char *
choose_during_rollout (FrontRollouts *rollouts,
                       FrontRollout *rollout,
                       uint64_t session,
                       int64_t now_ms)
{
  uint64_t runs_on = front_sessions_version (rollouts->sessions, session, now_ms);
  bool first_half = front_rollout_is_first_half (rollout, now_ms);
  int64_t hold_ms = stages_of (rollout)->hold_ms;

  if (rollout->is_bad)
    return rollout->base;
  if (runs_on == span_hash (span_of (rollout->order.target)))
    return rollout->order.target;
  if (first_half && (runs_on != 0 || now_ms - rollout->learned_ms < hold_ms))
    return rollout->base;
  return is_in_share (rollout, session, now_ms) ? rollout->order.target : rollout->base;
}

const char *
front_rollouts_choose (FrontRollouts *rollouts,
                       FrontServers *servers,
                       const char *service,
                       uint64_t session,
                       int64_t now_ms)
{
  FrontRollout *rollout = front_rollouts_get (rollouts, service);
  bool base_serves = rollouts_update_base (rollout, servers);
  const char *version;

  if (!front_rollout_is_running (rollout))
    return rollout->base;
  version = choose_during_rollout (rollouts, rollout, session, now_ms);
  if (version == rollout->base)
    return base_serves || rollout->is_bad ? rollout->base : rollout->order.target;
  return rollouts_have_servers (servers, service, version) ? version : rollout->base;
}

/* True for sessions that would begin on the new version during the first half. */
static bool
is_in_first_stage_share (const void *context, uint64_t session)
{
  return (double)(session % SHARE_STEPS) < first_stage_share (context) * SHARE_STEPS;
}

unsigned
front_rollouts_held_sessions (const FrontRollouts *rollouts,
                              FrontRollout *rollout,
                              SessionUpdate *out,
                              unsigned max,
                              int64_t now_ms)
{
  return front_sessions_list (rollouts->sessions, span_hash (span_of (rollout->base)),
                              is_in_first_stage_share, rollout, &rollout->held_cursor, out, max,
                              now_ms);
}

void
front_rollouts_hold_session (FrontRollouts *rollouts,
                             const FrontRollout *rollout,
                             const SessionUpdate *update,
                             int64_t now_ms)
{
  front_sessions_learn (rollouts->sessions, update->session, span_hash (span_of (rollout->base)),
                        update->age_ms, now_ms);
}
