/**
 * Definition of BillWriter, shared by bill_writer.c, which request threads call, and
 * bill_writer_thread.c, the thread that writes the spool to the table.
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
  bool full;               /* the spool is full, which has been logged */
  bool stopping;
  int64_t stop_at_ms;         /* with stopping: when the thread ends even if records are left */
  int64_t next_flush_at_ms;   /* earliest next transaction from the spool */
  int64_t next_index_at_ms;   /* earliest next write of the gate's row */
  int64_t next_unspill_at_ms; /* earliest next read of the spilled records */
  bool indexed;               /* the gate's row is in the table */
  uint32_t objects_in_table;  /* value in the gate's row: the objects before it are in the table */
  size_t spilled;             /* records in later objects that are no longer in the spool */
  uint32_t unspill_object;    /* the next object to read for the spilled records */
  bool unspill_refused;       /* a spilled record was refused: all of them are read again later */
  pthread_t thread;
};

/** True for codes that mean that the table service is unavailable, rather than a bad record or a
 *  full queue. */
bool bill_writer_is_outage (StatusCode code);
/** The writer's thread; argument is the BillWriter. */
void *bill_writer_run (void *argument);

#endif
