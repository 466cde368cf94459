#include "steward_leave.h"
#include "steward_view.h"
#include "util_clock.h"
#include "util_id.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>

#define TIMEOUT_MS         STEWARD_TABLE_TIMEOUT_MS
#define LEAVE_TIMEOUT_MS   3000
#define RETRY_DELAY_MAX_MS 50 /* the delay is random, up to this */

static StatusCode
leave_once (Steward *s, StewardViewRow *row, ClusterView *next, bool *removed)
{
  char from[24], to[24];
  StewardAuditEntry audit
      = { .who = s->self.vm, .action = "view", .from = from, .to = to, .detail = "leave" };
  StewardHead head;
  StatusCode code = steward_head_read (s->platform, TIMEOUT_MS, &head, NULL);

  if (code == STATUS_OK)
    code = steward_view_read (s->platform, TIMEOUT_MS, row, NULL);
  if (code != STATUS_OK)
    return code;
  *removed = cluster_view_find (&row->view, s->incarnation) < 0;
  if (*removed || !cluster_view_remove (&row->view, &s->incarnation, 1, head.number, next))
    return code;
  snprintf (from, sizeof from, "%lld", (long long)row->view.number);
  snprintf (to, sizeof to, "%lld", (long long)next->number);
  code = steward_view_write (s->platform, TIMEOUT_MS, row, &head, next, &audit, NULL);
  *removed = code == STATUS_OK;
  return code;
}

void
steward_leave (Steward *s)
{
  StewardViewRow *row = memory_alloc (sizeof *row);
  ClusterView *next = memory_alloc (sizeof *next);
  int64_t end = clock_boot_ms () + LEAVE_TIMEOUT_MS;
  bool removed = false;

  while (!removed && clock_boot_ms () < end)
    {
      if (leave_once (s, row, next, &removed) == STATUS_UNAVAILABLE)
        break;
      if (!removed)
        clock_sleep_ms ((int64_t)(id_random_u64 () % RETRY_DELAY_MAX_MS) + 1);
    }
  free (row);
  free (next);
}
