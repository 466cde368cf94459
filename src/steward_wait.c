#include "steward_wait.h"
#include "steward_cluster.h"
#include "steward_heartbeat.h"
#include "steward_table.h"
#include "util_clock.h"

/* Members that don't apply the number yet are asked again at an interval that doubles from the
   minimum to the maximum. */
#define ASK_INTERVAL_MIN_MS 15
#define ASK_INTERVAL_MAX_MS 500

/** The wait for one number. */
typedef struct
{
  Steward *s;
  int64_t number;
  int64_t accepted_at; /**< time at which the acceptance was first seen; 0: not yet */
  int64_t next_ask_at;
  int64_t ask_interval_ms;
} Wait;

/* True if all grants under lower numbers have ended by time alone: those that rest on a proof
   older than the acceptance end grant_ms after it at the latest, also on members that can't be
   reached. */
static bool
bound_passed (const Wait *w, int64_t now)
{
  return w->accepted_at != 0
         && now - w->accepted_at > steward_cluster_grant_bound_ms (w->s->settings.grant_ms);
}

static StewardNumberState
check_state (Wait *w, StewardProgress *progress, int64_t now)
{
  *progress = steward_cluster_progress (w->s, w->number, now);
  if (!progress->accepted)
    return STEWARD_DURABLE;
  if (w->accepted_at == 0)
    w->accepted_at = now;
  return progress->in_force || bound_passed (w, now) ? STEWARD_IN_FORCE : STEWARD_ACCEPTED;
}

static void
ask_lagging (Wait *w, int64_t now)
{
  if (now < w->next_ask_at)
    return;
  steward_heartbeat_ask_lagging (w->s, w->number);
  w->next_ask_at = now + w->ask_interval_ms;
  w->ask_interval_ms
      = 2 * w->ask_interval_ms < ASK_INTERVAL_MAX_MS ? 2 * w->ask_interval_ms : ASK_INTERVAL_MAX_MS;
}

StewardNumberState
steward_wait (Steward *s,
              int64_t number,
              StewardNumberState until,
              int64_t wait_ms,
              size_t *members_in_force,
              size_t *members)
{
  Wait w = { .s = s, .number = number, .ask_interval_ms = ASK_INTERVAL_MIN_MS };
  int64_t now = clock_boot_ms ();
  int64_t end = now + wait_ms;
  StewardProgress progress;
  StewardNumberState state = check_state (&w, &progress, now);

  /* Asked once even if the caller doesn't wait, so that the number spreads now and not with the
     next poll. */
  ask_lagging (&w, now);
  steward_table_accept_soon (s->table, number);
  while (state < until && now < end && !steward_cluster_leaving (s))
    {
      int64_t next = w.next_ask_at < end ? w.next_ask_at : end;
      steward_cluster_wait (s, next - now);
      now = clock_boot_ms ();
      ask_lagging (&w, now);
      if (state == STEWARD_DURABLE)
        steward_table_wake (s->table);
      state = check_state (&w, &progress, now);
    }
  *members_in_force = progress.members_in_force;
  *members = progress.members;
  return state;
}

const char *
steward_number_state_name (StewardNumberState state)
{
  static const char *const names[] = {
    [STEWARD_DURABLE] = "durable", [STEWARD_ACCEPTED] = "accepted", [STEWARD_IN_FORCE] = "in_force"
  };

  return names[state];
}
