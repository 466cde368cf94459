/**
 * Internals of the group commit, shared by platform_group.c (submission and workers) and
 * platform_group_batch.c (combining requests into transactions).
 */
#ifndef PLATFORM_GROUP_PRIVATE_H
#define PLATFORM_GROUP_PRIVATE_H

#include "platform_breaker.h"
#include "platform_group.h"
#include <pthread.h>
#include <urcu/list.h>

/* Concurrent transactions: two, so that one slow reply does not block all other callers. */
#define WORKER_COUNT 2

typedef enum
{
  REQUEST_QUEUED,
  REQUEST_SENT,
  REQUEST_DONE
} RequestState;

/* The operations of one call. Reference-counted, because the caller may stop waiting while a worker
 * is still sending it. */
typedef struct
{
  struct cds_list_head node;
  TxnOp *ops;
  uint64_t *hashes; /* of the row that each operation writes; never 0 */
  size_t count;
  int refs;
  RequestState state;
  Status status;
  pthread_cond_t changed; /* signalled when state changes to REQUEST_DONE */
} Request;

struct PlatformGroup
{
  Platform *platform;
  int interval_ms;
  size_t ops_max;
  int timeout_ms;
  pthread_mutex_t lock;
  pthread_cond_t work; /* signalled when the queue, interval or stopping changes */
  struct cds_list_head queue;
  size_t ops_queued;
  int64_t last_sent_ms; /* when the last transaction was sent; INT64_MIN: none yet */
  bool stopping;
  unsigned failure_threshold;
  unsigned failures; /* consecutive */
  PlatformBreaker breaker;
  PlatformGroupStats stats;
  pthread_t threads[WORKER_COUNT];
};

/** Copies the operations; the caller holds one reference. */
Request *platform_group_request_new (const TxnOp *ops, size_t count);
/** Drops a reference; the last one frees the request. Called with the group's lock held, unless no
 *  other thread has a reference. */
void platform_group_request_unref (Request *request);

/** Moves the oldest requests that fit into one transaction from the queue to batch; returns the
 * number of operations. Called with the lock held. */
size_t platform_group_batch_collect (PlatformGroup *group, struct cds_list_head *batch);
/** Sends the batch as one transaction, or request by request if the service refuses it as
 * malformed. Called without the lock. */
StatusCode
platform_group_batch_send (PlatformGroup *group, struct cds_list_head *batch, size_t ops);
/** Marks the requests of the batch as done and wakes their callers. Called with the lock held. */
void platform_group_batch_finish (struct cds_list_head *batch);

#endif
