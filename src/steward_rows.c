#include "steward_rows.h"
#include "cluster_accept.h"
#include "steward_cluster.h"
#include "steward_heartbeat.h"
#include "util_clock.h"
#include "util_id.h"
#include "util_log.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>

#define TIMEOUT_MS STEWARD_TABLE_TIMEOUT_MS

/* A write that any member may make is left to the member that caused it at first: the first member
   of the view that is alive waits FIRST_MEMBER_DELAY_MS before it makes the write, all others wait
   OTHERS_DELAY_MS. */
#define FIRST_MEMBER_DELAY_MS 300
#define OTHERS_DELAY_MS       2000
#define BACKOFF_MIN_MS        20
#define BACKOFF_MAX_MS        2000

void
steward_rows_adopt (StewardRows *r)
{
  Steward *s = r->s;
  bool adopted;

  if (!r->row.known || r->row.view.number == 0)
    return;
  pthread_mutex_lock (&s->cluster.lock);
  adopted = steward_cluster_adopt_view (s, &r->row.view, clock_boot_ms ());
  if (adopted)
    pthread_cond_broadcast (&s->cluster.changed);
  pthread_mutex_unlock (&s->cluster.lock);
  if (adopted)
    log_msg (MSG_STEWARD_VIEW, "view=\"%lld\" established=\"%s\" members=\"%zu\"",
             (long long)r->row.view.number, r->row.view.established ? "yes" : "no",
             r->row.view.count);
}

/* If many stewards write the same row at once, as after a restart of all, most writes conflict.
   Back-off of random and growing length lets one after another succeed. */
static void
update_backoff (StewardRows *r, StatusCode code, int64_t now)
{
  if (code == STATUS_OK)
    {
      r->backoff_ms = 0;
      return;
    }
  r->backoff_ms = r->backoff_ms == 0 ? BACKOFF_MIN_MS : 2 * r->backoff_ms;
  if (r->backoff_ms > BACKOFF_MAX_MS)
    r->backoff_ms = BACKOFF_MAX_MS;
  r->next_write_at = now + (int64_t)(id_random_u64 () % (uint64_t)r->backoff_ms);
}

static bool
write_view (StewardRows *r, const ClusterView *next, const char *detail, int64_t now)
{
  Steward *s = r->s;
  char from[24], to[24];
  StewardAuditEntry audit
      = { .who = s->self.vm, .action = "view", .from = from, .to = to, .detail = detail };
  Status st = { 0 };
  StatusCode code;

  snprintf (from, sizeof from, "%lld", (long long)r->row.view.number);
  snprintf (to, sizeof to, "%lld", (long long)next->number);
  code = steward_view_write (s->platform, TIMEOUT_MS, &r->row, &r->head, next, &audit, &st);
  update_backoff (r, code, now);
  if (code != STATUS_OK)
    return false;
  log_msg (MSG_STEWARD_VIEW_WRITTEN, "view=\"%lld\" change=\"%s\" members=\"%zu\"",
           (long long)next->number, detail, next->count);
  r->wrote_pending = !next->established;
  steward_rows_adopt (r);
  /* The asks carry the view's number; the members' answers confirm that they have seen it. */
  steward_heartbeat_ask_lagging (s, INT64_MAX);
  return true;
}

static void
register_self (StewardRows *r, int64_t now)
{
  ClusterView *next = memory_alloc (sizeof *next);

  if (cluster_view_register (&r->row.view, &r->s->self, r->head.number, next))
    (void)write_view (r, next, "register", now);
  free (next);
}

static void
establish (StewardRows *r, int64_t now)
{
  ClusterView *next = memory_alloc (sizeof *next);
  bool ready;

  pthread_mutex_lock (&r->s->cluster.lock);
  ready = cluster_view_establish (&r->row.view, r->s->cluster.state, r->head.number, next);
  pthread_mutex_unlock (&r->s->cluster.lock);
  if (ready)
    (void)write_view (r, next, "establish", now);
  free (next);
}

static void
remove_dead (StewardRows *r, int64_t now)
{
  uint64_t *dead;
  size_t count = steward_removal_due (r->removal, r->s, &r->row.view, now, &dead);
  ClusterView *next = memory_alloc (sizeof *next);

  if (count > 0 && cluster_view_remove (&r->row.view, dead, count, r->head.number, next))
    (void)write_view (r, next, "remove", now);
  free (next);
  free (dead);
}

static void
accept_number (StewardRows *r, int64_t now)
{
  Steward *s = r->s;
  int64_t number;
  Status st = { 0 };
  StatusCode code;

  pthread_mutex_lock (&s->cluster.lock);
  number = cluster_accept_number (s->cluster.state, &r->row.view, r->head.number, r->head.accepted);
  pthread_mutex_unlock (&s->cluster.lock);
  if (number == 0)
    return;
  code = steward_view_accept (s->platform, TIMEOUT_MS, &r->row, &r->head, number, s->self.vm, &st);
  update_backoff (r, code, now);
  if (code != STATUS_OK)
    {
      r->row.known = false;
      return;
    }
  log_msg (MSG_STEWARD_ACCEPTED, "config=\"%lld\"", (long long)number);
  pthread_mutex_lock (&s->cluster.lock);
  cluster_state_table_read (s->cluster.state, now, r->head.number, r->head.accepted);
  pthread_cond_broadcast (&s->cluster.changed);
  pthread_mutex_unlock (&s->cluster.lock);
}

/* Keeps the members from writing the same row at the same time, which would make their writes
   conflict. */
static bool
is_our_turn (const StewardRows *r, bool caused_here, int64_t now)
{
  int64_t waited = now - r->pending_since;

  return caused_here || waited > OTHERS_DELAY_MS
         || (waited > FIRST_MEMBER_DELAY_MS && steward_cluster_is_first_alive (r->s, now));
}

static void
update_pending_since (StewardRows *r, int64_t now)
{
  bool pending = !r->row.view.established || r->head.accepted < r->head.number;

  if (!pending)
    r->pending_since = r->backoff_ms = 0;
  else if (r->pending_since == 0)
    r->pending_since = now;
}

void
steward_rows_write_due (StewardRows *r, int64_t accept_soon, int64_t now)
{
  if (!r->row.known || now < r->next_write_at)
    return;
  if (cluster_view_find (&r->row.view, r->s->incarnation) < 0)
    {
      register_self (r, now);
      return;
    }
  update_pending_since (r, now);
  if (r->head.accepted < r->head.number && is_our_turn (r, accept_soon > r->head.accepted, now))
    accept_number (r, now);
  if (r->row.known && !r->row.view.established && is_our_turn (r, r->wrote_pending, now))
    establish (r, now);
  if (r->row.known && steward_cluster_is_first_alive (r->s, now))
    remove_dead (r, now);
}
