/**
 * Billing: each request that ran gets exactly one usage record in the table service. While the
 * table is unavailable a record is stored in a fallback and written to the table later. See
 * docs/design/billing.md.
 */
#ifndef BILL_H
#define BILL_H

#include "claim.h"
#include "platform_group.h"
#include "util_id.h"
#include "util_status.h"
#include <stdbool.h>
#include <stdint.h>

/* Bytes, including the NUL. */
#define BILL_KEY_MAX  128
#define BILL_NAME_MAX 64

#define BILL_ATTEMPTS_MAX 8

/** A record with any outcome but BILL_ANSWERED is replaced if a caller's retry is answered. */
typedef enum
{
  BILL_ANSWERED,  /**< the caller received the complete answer, or could have */
  BILL_CANCELLED, /**< the caller disconnected; billed for the tokens generated until then */
  BILL_CUT,       /**< the backend server's answer ended early and could not be resumed */
  BILL_UNKNOWN    /**< may have run */
} BillOutcome;

/** An attempt that a backend server ran; a cascade or a retry has several. */
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
  char key[BILL_KEY_MAX]; /**< row key, from bill_key */
  char request[ID_SIZE];
  char team[BILL_NAME_MAX];
  char asked[BILL_NAME_MAX]; /**< the caller's "model", or the service */
  BillOutcome outcome;
  int64_t config; /**< configuration number in force when the request was accepted */
  int64_t at_ms;  /**< wall clock */
  BillAttempt attempts[BILL_ATTEMPTS_MAX];
  size_t attempt_count;
} BillRecord;

/** Row key: the team with the idempotency key or, without one, with the request's id. */
void bill_key (const char *team,
               const char *idempotency_key,
               const char *request,
               char out[BILL_KEY_MAX]);
/** The record as JSON text; freed with free. */
char *bill_text (const BillRecord *record);
bool bill_parse (const char *text, BillRecord *out);
const char *bill_outcome_name (BillOutcome outcome);

/** Where a record is stored, in the order in which the places are tried. */
typedef enum
{
  BILL_AT_TABLE,
  BILL_AT_OBJECT_STORE,
  BILL_AT_REPLICA, /**< in the memory of stewards in other failure domains */
  BILL_AT_SPOOL    /**< only in this process's memory: lost if the process dies */
} BillPlace;

/**
 * Copies records to other VMs; returns how many VMs in other failure domains stored them. A record
 * is the text of bill_entry_json or bill_replica_done_text, under LOVAGE_RECORD_MAX bytes; the
 * receiver passes it to bill_replica_take. Called from one thread; the callee limits the time it
 * takes.
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
  uint64_t gate;             /**< incarnation of this gate */
  size_t spool_max;          /**< bytes of records that are not in the table yet */
  int table_timeout_ms;      /**< of a write to the table, before the first fallback is tried */
  size_t in_progress_max;    /**< upper bound on requests in progress, for which room is reserved;
                                  0: a quarter of spool_max is reserved */
  int batch_interval_ms;     /**< minimum interval between batches to a fallback; 0: none */
  BillReplicator replicator; /**< copy may be NULL */
} BillOptions;

typedef struct BillWriter BillWriter;

BillWriter *bill_writer_new (const BillOptions *options);
/** Returns when all records are in the table or timeout_ms has passed, with the number of records
 *  that are not in the table. */
size_t bill_writer_free (BillWriter *writer, int timeout_ms);

/** True if the spool has room for another request, apart from the room reserved for requests in
 *  progress. Without room the caller refuses new work. */
bool bill_has_room (BillWriter *writer);

/** Records that are not in the table yet. */
typedef struct
{
  size_t count;    /**< in memory */
  size_t bytes;    /**< in memory */
  size_t spilled;  /**< in the object store and no longer in memory */
  bool table_down; /**< the last write to the table failed */
  bool indexed;    /**< the gate's row is in table bill_gate, so that the object store is used */
} BillBacklog;

void bill_backlog (BillWriter *writer, BillBacklog *out);

/**
 * Stores a record, with the settlement of its claim (or NULL) in the same transaction, and returns
 * where. Takes at most table_timeout_ms and the time-outs of the fallbacks. The end of the answer
 * must be sent to the caller only after this. Records that are not in the table yet are spooled;
 * the writer's thread writes them to the table later.
 */
BillPlace bill_commit (BillWriter *writer, const BillRecord *record, const ClaimSettlement *claim);

#endif
