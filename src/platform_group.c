#include "platform_group_private.h"
#include "util_assert.h"
#include "util_clock.h"
#include "util_counter.h"
#include "util_memory.h"
#include "util_wait.h"
#include <stdlib.h>
#include <string.h>

#define STEP "platform.group"

/* Capacity of the queue in full transactions; beyond it callers are refused immediately. */
#define QUEUE_TRANSACTIONS_MAX 32
/* Consecutive failed transactions after which the service is considered down: more than one, so
 * that a caller can still resolve the outcome of a single lost reply with a retry. */
#define FAILURE_THRESHOLD 3
/* Maximum interval between attempts while the service is considered down. */
#define RETRY_INTERVAL_MAX_MS 500
#define WAIT_FOREVER          (-1)

static void *worker (void *argument);

PlatformGroup *
platform_group_new (Platform *p, int interval_ms, size_t ops_max, int timeout_ms)
{
  PlatformGroup *group = memory_alloc (sizeof *group);

  INVARIANT (ops_max > 0, "ops_max=0");
  group->platform = p;
  group->interval_ms = interval_ms;
  group->ops_max = ops_max;
  group->timeout_ms = timeout_ms;
  group->last_sent_ms = INT64_MIN;
  group->failure_threshold = FAILURE_THRESHOLD;
  group->breaker.retry_interval_max_ms = RETRY_INTERVAL_MAX_MS;
  CDS_INIT_LIST_HEAD (&group->queue);
  pthread_mutex_init (&group->lock, NULL);
  wait_init (&group->work);
  for (int i = 0; i < WORKER_COUNT; i++)
    {
      int rc = pthread_create (&group->threads[i], NULL, worker, group);

      INVARIANT (rc == 0, "pthread_create: %s", strerror (rc));
    }
  return group;
}

void
platform_group_free (PlatformGroup *group)
{
  if (group == NULL)
    return;
  pthread_mutex_lock (&group->lock);
  group->stopping = true;
  pthread_cond_broadcast (&group->work);
  pthread_mutex_unlock (&group->lock);
  for (int i = 0; i < WORKER_COUNT; i++)
    pthread_join (group->threads[i], NULL);
  INVARIANT (cds_list_empty (&group->queue), "operations left");
  pthread_cond_destroy (&group->work);
  pthread_mutex_destroy (&group->lock);
  free (group);
}

static void
record_result (PlatformGroup *group, StatusCode code)
{
  int64_t now = clock_boot_ms ();

  if (code != STATUS_UNAVAILABLE && code != STATUS_UNKNOWN)
    {
      group->failures = 0;
      platform_breaker_record_success (&group->breaker);
      return;
    }
  group->failures++;
  if (group->failure_threshold == 0 || group->failures < group->failure_threshold)
    return;
  /* The attempt has completed, so the next one is due after the retry interval, not after the
   * time-out that admit reserved for it. */
  if (group->breaker.open)
    group->breaker.next_try_at_ms = now;
  platform_breaker_record_failure (&group->breaker, now);
}

/* Sends the next transaction. Called with the lock held, which it releases while sending. */
static void
send_transaction (PlatformGroup *group)
{
  CDS_LIST_HEAD (batch);
  size_t ops = platform_group_batch_collect (group, &batch);
  StatusCode code;

  group->last_sent_ms = clock_boot_ms ();
  group->stats.transactions++;
  group->stats.ops += (int64_t)ops;
  counter_add (COUNTER_GROUP_TRANSACTIONS, 1);
  counter_add (COUNTER_GROUP_OPS, (int64_t)ops);
  pthread_mutex_unlock (&group->lock);
  code = platform_group_batch_send (group, &batch, ops);
  pthread_mutex_lock (&group->lock);
  record_result (group, code);
  platform_group_batch_finish (&batch);
}

static int64_t
ms_until_due (const PlatformGroup *group)
{
  if (group->last_sent_ms == INT64_MIN)
    return 0;
  return group->last_sent_ms + group->interval_ms - clock_boot_ms ();
}

static void *
worker (void *argument)
{
  PlatformGroup *group = argument;

  pthread_mutex_lock (&group->lock);
  while (!group->stopping || !cds_list_empty (&group->queue))
    {
      int64_t remaining_ms = ms_until_due (group);

      if (cds_list_empty (&group->queue))
        pthread_cond_wait (&group->work, &group->lock);
      else if (!group->stopping && remaining_ms > 0)
        wait_ms (&group->work, &group->lock, remaining_ms);
      else
        send_transaction (group);
    }
  pthread_mutex_unlock (&group->lock);
  return NULL;
}

/* Waits until the request, to which the caller holds a reference, is answered: at most
 * queue_timeout_ms until it is sent and, unless total_timeout_ms is WAIT_FOREVER, at most
 * total_timeout_ms overall. */
static StatusCode
request_wait (PlatformGroup *group,
              Request *request,
              int queue_timeout_ms,
              int total_timeout_ms,
              Status *st)
{
  int64_t start_ms = clock_boot_ms ();
  int64_t elapsed_ms = 0;

  for (; request->state == REQUEST_QUEUED && elapsed_ms < queue_timeout_ms;
       elapsed_ms = clock_boot_ms () - start_ms)
    wait_ms (&request->changed, &group->lock, queue_timeout_ms - elapsed_ms);
  if (request->state == REQUEST_QUEUED)
    {
      cds_list_del (&request->node);
      group->ops_queued -= request->count;
      request->refs--;
      return status_set (st, STATUS_UNAVAILABLE, STEP, NULL, "not sent within %d ms",
                         queue_timeout_ms);
    }
  while (request->state != REQUEST_DONE && total_timeout_ms == WAIT_FOREVER)
    pthread_cond_wait (&request->changed, &group->lock);
  for (; request->state != REQUEST_DONE && elapsed_ms < total_timeout_ms;
       elapsed_ms = clock_boot_ms () - start_ms)
    wait_ms (&request->changed, &group->lock, total_timeout_ms - elapsed_ms);
  if (request->state != REQUEST_DONE)
    return status_set (st, STATUS_UNKNOWN, STEP, NULL, "no answer within %d ms", total_timeout_ms);
  if (st != NULL)
    *st = request->status;
  return request->status.code;
}

static void
move_results (TxnOp *ops, Request *request)
{
  for (size_t i = 0; i < request->count; i++)
    {
      ops[i].inserted = request->ops[i].inserted;
      ops[i].row_version = request->ops[i].row_version;
      ops[i].existing = request->ops[i].existing;
      request->ops[i].existing = NULL;
    }
}

/* Refuses a request immediately if the queue is full or the service is considered down. */
static StatusCode
admit (PlatformGroup *group, size_t count, Status *st)
{
  int64_t now = clock_boot_ms ();

  if (!platform_breaker_allows (&group->breaker, now))
    return status_set (st, STATUS_UNAVAILABLE, STEP, NULL, "the table service is down");
  /* This call probes the service; others are refused until it has its result. */
  if (group->breaker.open)
    group->breaker.next_try_at_ms = now + group->timeout_ms;
  if (group->ops_queued + count > QUEUE_TRANSACTIONS_MAX * group->ops_max)
    return status_set (st, STATUS_FULL, STEP, NULL, "%zu operations are waiting",
                       group->ops_queued);
  return STATUS_OK;
}

static StatusCode
submit_request (PlatformGroup *group,
                TxnOp *ops,
                size_t count,
                int queue_timeout_ms,
                int total_timeout_ms,
                Status *st)
{
  Request *request = platform_group_request_new (ops, count);
  StatusCode code;

  pthread_mutex_lock (&group->lock);
  code = admit (group, count, st);
  if (code == STATUS_OK)
    {
      request->refs++;
      cds_list_add_tail (&request->node, &group->queue);
      group->ops_queued += count;
      pthread_cond_signal (&group->work);
      code = request_wait (group, request, queue_timeout_ms, total_timeout_ms, st);
    }
  if (request->state == REQUEST_DONE)
    move_results (ops, request);
  platform_group_request_unref (request);
  pthread_mutex_unlock (&group->lock);
  return code;
}

StatusCode
platform_group_submit (PlatformGroup *group, TxnOp *ops, size_t count, Status *st)
{
  return submit_request (group, ops, count, group->timeout_ms, WAIT_FOREVER, st);
}

StatusCode
platform_group_submit_within (PlatformGroup *group,
                              TxnOp *ops,
                              size_t count,
                              int timeout_ms,
                              Status *st)
{
  return submit_request (group, ops, count, timeout_ms, timeout_ms, st);
}

void
platform_group_set_failure_threshold (PlatformGroup *group, unsigned failures)
{
  pthread_mutex_lock (&group->lock);
  group->failure_threshold = failures;
  pthread_mutex_unlock (&group->lock);
}

void
platform_group_set_interval (PlatformGroup *group, int interval_ms)
{
  pthread_mutex_lock (&group->lock);
  group->interval_ms = interval_ms;
  pthread_cond_broadcast (&group->work);
  pthread_mutex_unlock (&group->lock);
}

int
platform_group_site_interval_ms (unsigned members)
{
  return (int)((members * 1000 + PLATFORM_GROUP_SITE_TXNS_PER_S - 1)
               / PLATFORM_GROUP_SITE_TXNS_PER_S);
}

void
platform_group_stats (PlatformGroup *group, PlatformGroupStats *out)
{
  pthread_mutex_lock (&group->lock);
  *out = group->stats;
  pthread_mutex_unlock (&group->lock);
}
