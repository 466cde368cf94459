/**
 * Usage records: each request that ran is billed exactly once. See docs/design/billing.md.
 */
#ifndef BILL_H
#define BILL_H

#include "claim.h"
#include "platform_group.h"
#include "util_id.h"
#include "util_status.h"
#include <stdbool.h>
#include <stdint.h>

#define BILL_KEY_MAX      128
#define BILL_NAME_MAX     64
#define BILL_ATTEMPTS_MAX 8

typedef enum
{
  BILL_ANSWERED,  /**< the caller received the whole answer, or could have */
  BILL_CANCELLED, /**< the caller left; billed for what was generated until then */
  BILL_CUT,       /**< the backend server's answer ended early and could not be resumed */
  BILL_UNKNOWN    /**< may have run; settled later */
} BillOutcome;

/** One attempt of a cascade or a retry that a backend server ran. */
typedef struct
{
  char version[BILL_NAME_MAX]; /**< MODEL@VERSION, or the service's name */
  char server[BILL_NAME_MAX];
  int64_t prompt_tokens;
  int64_t completion_tokens;
  double cost;
} BillAttempt;

typedef struct
{
  char key[BILL_KEY_MAX]; /**< of the row; see bill_key */
  char request[ID_SIZE];
  char team[BILL_NAME_MAX];
  char asked[BILL_NAME_MAX]; /**< what the caller named in "model", or the service */
  BillOutcome outcome;
  int64_t config; /**< number in force when the request was taken */
  int64_t at_ms;  /**< wall clock */
  BillAttempt attempts[BILL_ATTEMPTS_MAX];
  size_t attempt_count;
} BillRecord;

/** The row's key: team and idempotency key if there is one, else the request's id. */
void bill_key (const char *team,
               const char *idempotency_key,
               const char *request,
               char out[BILL_KEY_MAX]);
/** JSON text of the record; freed with free. */
char *bill_text (const BillRecord *record);
bool bill_parse (const char *text, BillRecord *out);
const char *bill_outcome_name (BillOutcome outcome);

/** Where a record has been made durable. */
typedef enum
{
  BILL_AT_TABLE,
  BILL_AT_OBJECT_STORE,
  BILL_AT_REPLICA, /**< in the memory of VMs in other failure domains */
  BILL_AT_SPOOL    /**< only in this process's memory: lost if it dies */
} BillPlace;

/**
 * Copies records to other VMs; returns how many VMs of other failure domains took them. A record is
 * the text of bill_entry_json or bill_replica_done_text, under LOVAGE_RECORD_MAX bytes; the other
 * side hands it to bill_replica_take. Called from one thread, and bounded in time by the callee.
 */
typedef struct BillReplicator
{
  int (*copy) (void *context, const char *const *records, size_t count);
  void *context;
} BillReplicator;

typedef struct
{
  PlatformGroup *group;
  Platform *platform;
  uint64_t gate;             /**< incarnation */
  size_t spool_max;          /**< bytes of records that are not yet in the table */
  int table_timeout_ms;      /**< after this the next place is tried */
  size_t in_progress_max;    /**< requests in progress at once, for which room is kept; 0: a quarter
                                  of spool_max is kept */
  int batch_interval_ms;     /**< objects and copies leave at most this often; 0: at once */
  BillReplicator replicator; /**< copy may be NULL */
} BillOptions;

typedef struct BillWriter BillWriter;

BillWriter *bill_writer_new (const BillOptions *options);
/** Ends after the spool is in the table or timeout_ms has passed; returns the records left. */
size_t bill_writer_free (BillWriter *writer, int timeout_ms);

/** True while there is room for another record, beside those of the requests in progress; new work
 *  is refused when there is none. */
bool bill_has_room (BillWriter *writer);

/** Records that are not in the table yet. */
typedef struct
{
  size_t count;    /**< in memory */
  size_t bytes;    /**< in memory */
  size_t spilled;  /**< in the object store and no longer in memory */
  bool table_down; /**< the last write to the table failed */
  bool indexed;    /**< the gate's row is in the table, so that the object store can be used */
} BillBacklog;

void bill_backlog (BillWriter *writer, BillBacklog *out);

/**
 * Makes a record durable (bounded by table_timeout_ms and the bounds of the other places), with the
 * settlement of its claim (or NULL) in the same transaction, and returns where. The end of the
 * answer is sent to the caller after this. Records that are not in the table yet are spooled and
 * written there later by the writer's thread.
 */
BillPlace bill_commit (BillWriter *writer, const BillRecord *record, const ClaimSettlement *claim);

#endif
