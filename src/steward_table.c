#include "steward_table.h"
#include "steward_cluster.h"
#include "steward_publish.h"
#include "steward_recover.h"
#include "steward_rows.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_log.h"
#include "util_memory.h"
#include "util_wait.h"
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS STEWARD_TABLE_TIMEOUT_MS

/* Polls per second of all stewards together; the table service serves about two thousand reads per
   second. */
#define POLLS_PER_S_MAX 100
/* Polls of the head row per read of the view row, unless a newer view was reported. */
#define POLLS_PER_VIEW_READ 8
/* Minimum pause between rounds, however often the thread is woken. */
#define ROUND_PAUSE_MS 20
/* Interval of the synchronisation of the brakes with few members; it grows with their number. */
#define BRAKES_SYNC_INTERVAL_MS 5000
/* Interval of the checks whether a view that this steward wrote can be established. */
#define PENDING_POLL_MS 50

struct StewardTable
{
  Steward *s;
  pthread_t thread;
  pthread_mutex_t
      lock; /**< guards stop, woken, accept_soon; the fields below belong to the thread */
  pthread_cond_t wake;
  bool stop;
  bool woken;
  int64_t accept_soon;
  StewardRows rows;
  int64_t next_poll_at;        /**< time of the next read of the head row */
  int64_t next_view_read_at;   /**< time of the next read of the view row, unless a newer view is
                                  reported */
  int64_t next_brakes_sync_at; /**< time of the next synchronisation of the brakes */
  bool brakes_read;            /**< the brakes were synchronised at least once */
};

int64_t
steward_table_poll_interval_ms (int64_t poll_ms, size_t members)
{
  int64_t min_ms = (int64_t)members * 1000 / POLLS_PER_S_MAX;

  return poll_ms > min_ms ? poll_ms : min_ms;
}

static void
set_platform_up (Steward *s, const Status *st, bool up)
{
  char quoted[STATUS_MESSAGE_MAX * 2];

  if (atomic_exchange (&s->platform_up, up) == up)
    return;
  if (up)
    log_msg (MSG_STEWARD_PLATFORM_UP, NULL);
  else
    log_msg (MSG_STEWARD_PLATFORM_DOWN, "step=\"%s\" peer=\"%s\" error=\"%s\"", st->step, st->peer,
             log_quote (st->message, quoted, sizeof quoted));
}

/* The proof of freshness counts from the time before the read was sent. */
static bool
read_head (StewardTable *t)
{
  Steward *s = t->s;
  int64_t sent_at = clock_boot_ms ();
  Status st = { 0 };
  StatusCode code = steward_head_read (s->platform, TIMEOUT_MS, &t->rows.head, &st);

  set_platform_up (s, &st, code == STATUS_OK);
  if (code != STATUS_OK)
    return false;
  pthread_mutex_lock (&s->cluster.lock);
  cluster_state_table_read (s->cluster.state, sent_at, t->rows.head.number, t->rows.head.accepted);
  pthread_cond_broadcast (&s->cluster.changed);
  pthread_mutex_unlock (&s->cluster.lock);
  return true;
}

static void
read_document (StewardTable *t)
{
  Steward *s = t->s;
  PlatformRow row = { 0 };
  char key[STEWARD_KEY_SIZE];

  if (t->rows.head.number <= steward_document_number (&s->document))
    return;
  steward_number_key (t->rows.head.number, key);
  if (s->platform->ops->get (s->platform, "config_text", key, TIMEOUT_MS, &row, NULL) == STATUS_OK
      && row.version != 0)
    (void)steward_publish_document (s, t->rows.head.number, row.value);
  platform_row_clear (&row);
}

static bool
read_view (StewardTable *t, int64_t now)
{
  Steward *s = t->s;
  Status st = { 0 };
  StatusCode code;
  char quoted[STATUS_MESSAGE_MAX * 2];

  if (t->rows.row.known && now < t->next_view_read_at && !steward_cluster_wants_view (s))
    return true;
  t->next_view_read_at
      = now
        + POLLS_PER_VIEW_READ
              * steward_table_poll_interval_ms (s->settings.poll_ms, steward_cluster_members (s));
  code = steward_view_read (s->platform, TIMEOUT_MS, &t->rows.row, &st);
  if (code == STATUS_INVALID)
    log_msg (MSG_STEWARD_VIEW_BAD, "error=\"%s\"", log_quote (st.message, quoted, sizeof quoted));
  if (code == STATUS_OK)
    t->rows.wrote_pending &= !t->rows.row.view.established;
  return code == STATUS_OK;
}

static int64_t
number_to_accept (StewardTable *t)
{
  int64_t number;

  pthread_mutex_lock (&t->lock);
  number = t->accept_soon;
  pthread_mutex_unlock (&t->lock);
  return number;
}

static void
write_queued (StewardTable *t, int64_t now)
{
  Steward *s = t->s;

  (void)steward_audit_queue_flush (&s->audit, s->platform, TIMEOUT_MS, NULL);
  if (!t->brakes_read || now >= t->next_brakes_sync_at || steward_brakes_unwritten (&s->brakes))
    {
      t->next_brakes_sync_at
          = now + BRAKES_SYNC_INTERVAL_MS * (int64_t)(1 + steward_cluster_members (s) / 16);
      t->brakes_read = steward_brakes_sync (&s->brakes, s->platform, TIMEOUT_MS, NULL) == STATUS_OK;
    }
  steward_recover (s, now);
}

/* Reads the rows, then makes the writes that are due. */
static void
poll_table (StewardTable *t, int64_t now)
{
  Steward *s = t->s;

  t->next_poll_at
      = now + steward_table_poll_interval_ms (s->settings.poll_ms, steward_cluster_members (s));
  if (!read_head (t))
    {
      t->rows.row.known = false;
      return;
    }
  read_document (t);
  steward_cluster_apply (s);
  if (!read_view (t, now))
    return;
  steward_rows_adopt (&t->rows);
  steward_rows_write_due (&t->rows, number_to_accept (t), now);
  write_queued (t, now);
}

/* Called after a wake-up: reads a newer number or view that was reported, or makes the writes that
   have become possible. */
static void
handle_wake (StewardTable *t, int64_t now)
{
  Steward *s = t->s;
  bool newer = steward_cluster_wanted_number (s) > t->rows.head.number
               || steward_cluster_wants_view (s) || number_to_accept (t) > t->rows.head.number;

  if (newer || !t->rows.row.known)
    poll_table (t, now);
  else
    {
      steward_rows_adopt (&t->rows);
      steward_rows_write_due (&t->rows, number_to_accept (t), now);
    }
}

static int64_t
wait_time_ms (const StewardTable *t, int64_t now)
{
  int64_t ms = t->next_poll_at - now;

  /* While the view that this steward wrote is pending, check often whether it can be
     established. */
  if (t->rows.wrote_pending && ms > PENDING_POLL_MS)
    ms = PENDING_POLL_MS;
  if (t->rows.next_write_at > now && t->rows.next_write_at - now < ms)
    ms = t->rows.next_write_at - now;
  return ms;
}

static void
run_round (StewardTable *t)
{
  int64_t now = clock_boot_ms ();

  if (now >= t->next_poll_at)
    poll_table (t, now);
  else
    handle_wake (t, now);
}

static void *
run (void *context)
{
  StewardTable *t = context;

  pthread_mutex_lock (&t->lock);
  while (!t->stop)
    {
      t->woken = false;
      pthread_mutex_unlock (&t->lock);
      run_round (t);
      clock_sleep_ms (ROUND_PAUSE_MS);
      pthread_mutex_lock (&t->lock);
      if (!t->stop && !t->woken)
        (void)wait_ms (&t->wake, &t->lock, wait_time_ms (t, clock_boot_ms ()));
    }
  pthread_mutex_unlock (&t->lock);
  return NULL;
}

StewardTable *
steward_table_start (Steward *s)
{
  StewardTable *t = memory_alloc (sizeof *t);

  t->s = t->rows.s = s;
  t->rows.removal = steward_removal_new ();
  pthread_mutex_init (&t->lock, NULL);
  wait_init (&t->wake);
  int error = pthread_create (&t->thread, NULL, run, t);
  INVARIANT (error == 0, "pthread_create: %s", strerror (error));
  return t;
}

void
steward_table_stop (StewardTable *t)
{
  if (t == NULL)
    return;
  pthread_mutex_lock (&t->lock);
  t->stop = true;
  pthread_cond_signal (&t->wake);
  pthread_mutex_unlock (&t->lock);
  pthread_join (t->thread, NULL);
  steward_removal_free (t->rows.removal);
  pthread_cond_destroy (&t->wake);
  pthread_mutex_destroy (&t->lock);
  free (t);
}

void
steward_table_wake (StewardTable *t)
{
  if (t == NULL)
    return;
  pthread_mutex_lock (&t->lock);
  t->woken = true;
  pthread_cond_signal (&t->wake);
  pthread_mutex_unlock (&t->lock);
}

void
steward_table_accept_soon (StewardTable *t, int64_t number)
{
  pthread_mutex_lock (&t->lock);
  if (number > t->accept_soon)
    t->accept_soon = number;
  t->woken = true;
  pthread_cond_signal (&t->wake);
  pthread_mutex_unlock (&t->lock);
}
