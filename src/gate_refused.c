#include "gate_refused.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_log.h"

#define LOG_LINES_PER_S 10
#define QUOTED_MAX      320 /* bytes of a quoted message in a log line */

static int64_t counts[REFUSAL_COUNT]; /* atomic */
static int64_t log_second;            /* atomic */
static int64_t log_lines;             /* atomic: logged in log_second */

/* Limits the log lines per second, so that many refusals do not flood the log. */
static bool
may_log (void)
{
  int64_t second = clock_boot_ms () / 1000;

  if (__atomic_exchange_n (&log_second, second, __ATOMIC_RELAXED) != second)
    __atomic_store_n (&log_lines, 0, __ATOMIC_RELAXED);
  return __atomic_add_fetch (&log_lines, 1, __ATOMIC_RELAXED) <= LOG_LINES_PER_S;
}

void
gate_refused_record (const GateRequest *r)
{
  char message[QUOTED_MAX];
  char asked[BILL_NAME_MAX * 2];
  bool team_known = r->snapshot != NULL && r->asked[0] != '\0';

  counter_add (COUNTER_GATE_REFUSED, 1);
  __atomic_add_fetch (&counts[r->refusal.reason], 1, __ATOMIC_RELAXED);
  if (!may_log ())
    return;
  log_msg (MSG_GATE_REFUSED,
           "request=\"%s\" reason=\"%s\" state=\"%s\" step=\"%s\" team=\"%s\" asked=\"%s\" "
           "config=\"%lld\" message=\"%s\"",
           r->id, refusal_name (r->refusal.reason), request_state_name (r->refusal.state),
           r->refusal.step, team_known ? gate_request_team (r)->name : "",
           log_quote (r->asked, asked, sizeof (asked)),
           r->snapshot != NULL ? (long long)r->snapshot->config->number : 0,
           log_quote (r->refusal.message, message, sizeof (message)));
}

void
gate_refused_metrics (Buffer *out)
{
  for (int i = REASON_NONE + 1; i < REFUSAL_COUNT; i++)
    buffer_printf (out, "gate_refused_%s %lld\n", refusal_name (i),
                   (long long)__atomic_load_n (&counts[i], __ATOMIC_RELAXED));
}
