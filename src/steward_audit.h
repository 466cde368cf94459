/**
 * Entries of the audit trail: insert-only rows of the table service, written in the transaction of
 * the change that they record, or queued while the table service is unavailable.
 */
#ifndef STEWARD_AUDIT_H
#define STEWARD_AUDIT_H

#include "platform.h"
#include <json-c/json.h>
#include <pthread.h>

#define STEWARD_AUDIT_KEY_SIZE  64
#define STEWARD_AUDIT_QUEUE_MAX 512 /**< entries */

/** One entry. Strings are borrowed; NULL is written as "". */
typedef struct
{
  const char *who;
  const char *action; /**< e.g. "patch", "brake", "view" */
  const char *from;
  const char *to;
  const char *detail;
} StewardAuditEntry;

/** One row. Its key is unique (time and a random part), so that writing it twice leaves one row. */
typedef struct
{
  char key[STEWARD_AUDIT_KEY_SIZE];
  char *value;
} StewardAuditRow;

void steward_audit_row (const StewardAuditEntry *entry, StewardAuditRow *out);
void steward_audit_row_clear (StewardAuditRow *row);
/** The row's INSERT operation; it borrows the row's key and value. */
TxnOp steward_audit_op (const StewardAuditRow *row);

/** Entries to be written when the table service answers. */
typedef struct
{
  pthread_mutex_t lock;
  size_t count;
  StewardAuditRow rows[STEWARD_AUDIT_QUEUE_MAX];
} StewardAuditQueue;

void steward_audit_queue_init (StewardAuditQueue *q);
void steward_audit_queue_clear (StewardAuditQueue *q);
/** False if the queue is full: the entry is dropped, and only the log records its event. */
bool steward_audit_queue_add (StewardAuditQueue *q, const StewardAuditEntry *entry);
/** Writes the queued entries, oldest first; STATUS_OK when none is left. */
StatusCode
steward_audit_queue_flush (StewardAuditQueue *q, Platform *p, int timeout_ms, Status *st);

/** Lists at most limit entries with key >= from as {"entries":[…]}, which the caller releases. */
StatusCode steward_audit_list (Platform *p,
                               const char *from,
                               size_t limit,
                               int timeout_ms,
                               struct json_object **out,
                               Status *st);

#endif
