#include "steward_duty.h"
#include "cluster_lease.h"
#include "steward_audit.h"
#include "util_counter.h"
#include "util_field.h"
#include "util_log.h"
#include "util_memory.h"
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TABLE      "duty"
#define TIMEOUT_MS 1000 /* of one call of the table service */
/* Reads per second that all stewards together make for one duty. */
#define READS_PER_S_MAX 50
#define ROW_SIZE        128
#define NUMBER_SIZE     24

struct StewardDuty
{
  StewardDutyOptions options;
  char holder[CLUSTER_HOLDER_MAX];
  pthread_mutex_t
      lock; /**< guards lease; the fields below belong to the thread of steward_duty_step */
  ClusterLease lease;
  ClusterLeaseRow row;  /**< row as last read or written */
  int64_t next_read_at; /**< no read of a row of another holder before this time */
  int64_t fence; /**< fencing number under which the duty is held, for the log; 0: not held */
};

typedef struct
{
  char *holder;
  int64_t fence;
  int64_t lease_ms;
} RowFields;

static const FieldSpec row_specs[] = {
  { "holder", FIELD_STRING, true, offsetof (RowFields, holder), 0, CLUSTER_HOLDER_MAX - 1 },
  { "fence", FIELD_INT, true, offsetof (RowFields, fence), 1, 1e15 },
  { "lease_ms", FIELD_INT, true, offsetof (RowFields, lease_ms), 0, 1e9 },
};

StewardDuty *
steward_duty_new (const StewardDutyOptions *options)
{
  StewardDuty *d = memory_alloc (sizeof *d);

  d->options = *options;
  snprintf (d->holder, sizeof d->holder, "%016" PRIx64, options->incarnation);
  ClusterLeaseOptions lease = { .holder = d->holder,
                                .lease_ms = STEWARD_DUTY_LEASE_MS,
                                .renew_ms = STEWARD_DUTY_RENEW_MS,
                                .flight_ms = STEWARD_DUTY_ORDER_TIMEOUT_MS,
                                .read_ms = STEWARD_DUTY_READ_INTERVAL_MS };
  cluster_lease_init (&d->lease, &lease);
  pthread_mutex_init (&d->lock, NULL);
  return d;
}

void
steward_duty_free (StewardDuty *d)
{
  if (d == NULL)
    return;
  pthread_mutex_destroy (&d->lock);
  free (d);
}

int64_t
steward_duty_read_interval_ms (size_t members)
{
  int64_t min_ms = (int64_t)members * 1000 / READS_PER_S_MAX;

  return min_ms > STEWARD_DUTY_READ_INTERVAL_MS ? min_ms : STEWARD_DUTY_READ_INTERVAL_MS;
}

static bool
parse_row (const PlatformRow *row, ClusterLeaseRow *out)
{
  CheckList list = { .file = TABLE };
  RowFields f = { 0 };
  struct json_object *obj;
  bool good;

  *out = (ClusterLeaseRow){ .version = row->version };
  if (row->version == 0)
    return true;
  obj = field_parse_string (row->value, strlen (row->value), &list);
  good = obj != NULL
         && field_read (row_specs, sizeof row_specs / sizeof *row_specs, obj, &f, "", &list);
  if (good)
    {
      snprintf (out->holder, sizeof out->holder, "%s", f.holder);
      out->fence = f.fence;
      out->lease_ms = f.lease_ms;
    }
  json_object_put (obj);
  check_free (&list);
  free (f.holder);
  return good;
}

/* A row that can't be parsed counts as a failed read, so a duty with such a row is not taken
   over. */
static void
read_row (StewardDuty *d, size_t members)
{
  Platform *p = d->options.platform;
  int64_t sent_at = d->options.clock_ms ();
  PlatformRow found = { 0 };
  ClusterLeaseRow row;
  bool good = p->ops->get (p, TABLE, d->options.name, TIMEOUT_MS, &found, NULL) == STATUS_OK
              && parse_row (&found, &row);
  int64_t received_at = d->options.clock_ms ();

  platform_row_clear (&found);
  d->next_read_at = sent_at + steward_duty_read_interval_ms (members);
  pthread_mutex_lock (&d->lock);
  if (good)
    cluster_lease_read (&d->lease, sent_at, received_at, &row);
  else
    cluster_lease_read_failed (&d->lease, sent_at);
  pthread_mutex_unlock (&d->lock);
  if (good && row.version >= d->row.version)
    d->row = row;
}

static StatusCode
put_row (StewardDuty *d,
         const ClusterLeaseRow *row,
         const StewardAuditEntry *entry,
         int64_t *version)
{
  Platform *p = d->options.platform;
  StewardAuditRow audit = { 0 };
  char text[ROW_SIZE];
  size_t count = 2;
  StatusCode code;

  snprintf (text, sizeof text, "{\"holder\":\"%s\",\"fence\":%lld,\"lease_ms\":%lld}", row->holder,
            (long long)row->fence, (long long)row->lease_ms);
  TxnOp ops[3] = {
    { .kind = TXN_CHECK, .table = TABLE, .key = d->options.name, .version = row->version },
    { .kind = TXN_PUT, .table = TABLE, .key = d->options.name, .value = text },
  };
  if (entry != NULL)
    {
      steward_audit_row (entry, &audit);
      ops[count++] = steward_audit_op (&audit);
    }
  code = p->ops->txn (p, ops, count, TIMEOUT_MS, NULL);
  *version = ops[1].row_version;
  txn_ops_clear (ops, count);
  steward_audit_row_clear (&audit);
  counter_add (COUNTER_STEWARD_DUTY_WRITES, 1);
  return code;
}

/* The transaction of a take-over includes its audit entry, so that each fencing number has one
   entry. Renewals are not audited. */
static void
write_row (StewardDuty *d, const ClusterLeaseRow *row)
{
  char from[NUMBER_SIZE], to[NUMBER_SIZE], detail[ROW_SIZE];
  StewardAuditEntry entry
      = { .who = d->options.vm, .action = "duty", .from = from, .to = to, .detail = detail };
  bool takes_over = row->fence != d->row.fence;
  int64_t sent_at = d->options.clock_ms ();
  int64_t version = 0;
  StatusCode code;

  snprintf (from, sizeof from, "%lld", (long long)d->row.fence);
  snprintf (to, sizeof to, "%lld", (long long)row->fence);
  snprintf (detail, sizeof detail, "%s: %s takes over from %s", d->options.name, row->holder,
            d->row.holder[0] == '\0' ? "nobody" : d->row.holder);
  code = put_row (d, row, takes_over ? &entry : NULL, &version);
  pthread_mutex_lock (&d->lock);
  cluster_lease_written (&d->lease, sent_at, code, version);
  pthread_mutex_unlock (&d->lock);
  d->next_read_at = sent_at;
  if (code != STATUS_OK)
    return;
  d->row = *row;
  d->row.version = version;
}

static void
log_change (StewardDuty *d)
{
  int64_t fence = steward_duty_fence (d);

  if (fence == d->fence)
    return;
  log_msg (fence > 0 ? MSG_STEWARD_DUTY_TAKEN : MSG_STEWARD_DUTY_LOST, "duty=\"%s\" fence=\"%lld\"",
           d->options.name, (long long)(fence > 0 ? fence : d->fence));
  d->fence = fence;
}

void
steward_duty_step (StewardDuty *d, size_t members)
{
  int64_t now = d->options.clock_ms ();
  ClusterLeaseRow row = { 0 };
  ClusterLeaseStep step;

  pthread_mutex_lock (&d->lock);
  step = cluster_lease_next (&d->lease, now, &row);
  pthread_mutex_unlock (&d->lock);
  if (step == CLUSTER_LEASE_READ && now >= d->next_read_at)
    read_row (d, members);
  if (step == CLUSTER_LEASE_WRITE)
    write_row (d, &row);
  log_change (d);
}

/* Without the release a successor would wait for the lease to expire. */
void
steward_duty_release (StewardDuty *d)
{
  char from[NUMBER_SIZE], detail[ROW_SIZE];
  StewardAuditEntry entry
      = { .who = d->options.vm, .action = "duty", .from = from, .detail = detail };
  ClusterLeaseRow row;
  int64_t version;
  bool held;

  pthread_mutex_lock (&d->lock);
  held = cluster_lease_release (&d->lease, &row);
  pthread_mutex_unlock (&d->lock);
  if (!held)
    return;
  snprintf (from, sizeof from, "%lld", (long long)row.fence);
  snprintf (detail, sizeof detail, "%s: %s gives it back", d->options.name, d->holder);
  if (put_row (d, &row, &entry, &version) == STATUS_OK)
    log_msg (MSG_STEWARD_DUTY_GIVEN_BACK, "duty=\"%s\" fence=\"%lld\"", d->options.name,
             (long long)row.fence);
}

bool
steward_duty_may_order (StewardDuty *d)
{
  return steward_duty_fence (d) > 0;
}

int64_t
steward_duty_fence (StewardDuty *d)
{
  int64_t now = d->options.clock_ms ();
  int64_t fence;

  pthread_mutex_lock (&d->lock);
  fence = cluster_lease_fence (&d->lease, now);
  pthread_mutex_unlock (&d->lock);
  return fence;
}

TxnOp
steward_duty_condition (const StewardDuty *d)
{
  return (TxnOp){
    .kind = TXN_CHECK, .table = TABLE, .key = d->options.name, .version = d->row.version
  };
}
