/**
 * What the two halves of the writer of usage records share: bill_writer.c, called by the threads of
 * requests, and bill_writer_thread.c, which brings the spool to the table.
 */
#ifndef BILL_WRITER_PRIVATE_H
#define BILL_WRITER_PRIVATE_H

#include "bill_fallback.h"
#include "bill_recover.h"
#include "bill_spool.h"
#include "platform_breaker.h"
#include <pthread.h>

struct BillWriter
{
  BillOptions options;
  BillFallback *fallback;
  pthread_mutex_t lock;
  pthread_cond_t work;
  BillSpool spool;
  PlatformBreaker breaker; /* of the table */
  bool full;               /* the lack of room has been logged */
  bool stopping;
  int64_t stop_ms;           /* with stopping: when to give up */
  int64_t flush_next_ms;     /* earliest next transaction from the spool */
  int64_t index_next_ms;     /* earliest next try of the gate's row */
  int64_t unspill_next_ms;   /* earliest next try of the spilled records */
  bool indexed;              /* the gate's row is in the table */
  uint32_t objects_in_table; /* objects of which the gate's row says that the table has them */
  size_t spilled;            /* records that are in later objects and no longer in the spool */
  uint32_t unspill_object;   /* the next object to read for them */
  bool unspill_refused;      /* the table service refused one of them: all are read again */
  pthread_t thread;
};

/** True for codes that say that the table service, not the record or the queue, is at fault. */
bool bill_writer_is_outage (StatusCode code);
/** The writer's thread; argument is the BillWriter. */
void *bill_writer_run (void *argument);

#endif
