/**
 * Client of the platform's store: follows the tables that the process needs, writes the status of
 * roll-outs, and encodes rows for other fronts.
 */
#ifndef FRONT_STORE_H
#define FRONT_STORE_H

#include "front.h"
#include "front_channel.h"
#include "front_confirm.h"
#include "front_row.h"

typedef enum
{
  STORE_OPERATOR, /**< configuration, roll-out orders and evacuations */
  STORE_SERVERS,  /**< the backend servers' entries */
  STORE_STATUS,   /**< status of roll-outs */
  STORE_MEMBERS,  /**< the fronts' addresses */
  STORE_TABLES
} StoreTable;

/** NULL if the store's address is not valid. */
FrontStore *front_store_new (Front *front);
void front_store_free (FrontStore *store);
/** Version of the newest change that is known here. */
int64_t front_store_newest (const FrontStore *store, StoreTable table);
/** True if a change that another front knows is not known here. */
bool front_store_is_behind (const FrontStore *store, StoreTable table, int64_t newest_elsewhere);
/** Another front has the table up to this version. If the pending request should have brought that
 *  change, it is considered lost and sent again. */
void front_store_hint (FrontStore *store, StoreTable table, int64_t version, int64_t now_ms);
/** Another front was shown that a table was complete there, by the store's clock. False if this is
 *  of no use to any front. */
bool front_store_confirmation_told (FrontStore *store,
                                    uint32_t table,
                                    const Confirmation *told,
                                    int64_t now_ms);
/** Milliseconds since all changes that were made were known to be known here; -1: they never were,
 *  or the table isn't one of those for which that is asked. */
int64_t front_store_confirmed_age_ms (const FrontStore *store, StoreTable table, int64_t now_ms);
/** True while the store doesn't answer requests for the table. */
bool front_store_is_lost (const FrontStore *store, StoreTable table);
/** Version up to which all changes are known; 0: none are. */
int64_t front_store_version (const FrontStore *store, StoreTable table);
/** What another front that asks for a table's rows has to expect. */
typedef enum
{
  FRONT_ROWS_KNOWN,
  FRONT_ROWS_BEING_READ,  /**< at the store */
  FRONT_ROWS_AWAITED,     /**< from another front, which may wait for the asker in turn */
  FRONT_ROWS_OUT_OF_REACH /**< the store doesn't answer this front */
} FrontRowsState;

FrontRowsState front_store_rows_state (const FrontStore *store, StoreTable table);
/** Status of an answer without rows: they are being read, ask again. */
#define FRONT_ROWS_PENDING 202
/** True until the rows of a table are known, except while the store doesn't answer. */
bool front_store_is_loading (const FrontStore *store, StoreTable table);
/** True while rows of the table arrive at a sufficient rate. */
bool front_store_is_receiving (const FrontStore *store, StoreTable table);
/** Decompresses and decodes another front's answer. False if it is not valid. reply: its head; may
 *  be NULL. */
bool front_store_decode_peer_answer (const HttpReply *reply,
                                     const char *data,
                                     size_t len,
                                     StoreAnswer *answer);
/** Takes over the store's time if the answer, which has just arrived, tells it. */
void front_store_note_time (FrontStore *store, const StoreAnswer *answer);
/** Adds a field with the store's time to an answer to another front, if it is known here. */
void front_store_tell_time (const FrontStore *store, Buffer *fields);
/** Logs a request for rows that got no complete answer, and how many bytes of it arrived. source:
 *  the front that was asked; NULL: the store. */
void front_store_log_rows_failed (const FrontStore *store,
                                  StoreTable table,
                                  const struct sockaddr_in *source,
                                  int64_t asked_ms,
                                  const FrontChannel *channel);
/** Applies rows that another front returned: all of the table, or changes since a version that is
 *  known here. */
void
front_store_apply_peer_rows (FrontStore *store, StoreTable table, bool all, StoreAnswer *answer);
/** A request of another front for rows. */
typedef struct
{
  StoreTable table;
  int64_t since; /**< rows newer than this version; 0: all rows, from the first on */
  int64_t base;  /**< the requester's earlier parts tell all removals up to this version: since, or
                    base_version of the first part of a complete read */
  bool wait;     /**< long poll until there are changes */
} RowsRequest;

/** Appends the requested rows, or the first part of them, encoded as the store does. False if they
 *  are not known here. *is_part: there are more. */
bool front_store_encode_rows (const FrontStore *store,
                              const RowsRequest *request,
                              Buffer *out,
                              bool *is_part);
/** True if all removals since request->base are still known here. */
bool front_store_keeps_changes (const FrontStore *store, const RowsRequest *request);
/** True if front_store_encode_rows would return a change since this version. */
bool front_store_has_changes (const FrontStore *store, StoreTable table, int64_t since);
/** URL path of a request for rows to another front. */
void front_store_format_rows_path (Buffer *out, const RowsRequest *request);
/** Parses such a path; false if it is not one. */
bool front_store_parse_rows_path (const char *path, RowsRequest *request);
/** Milliseconds that a long poll for changes is held. */
#define FRONT_LONG_POLL_MS 20000

/** Writes the verdicts on roll-outs and does other periodic work. Called several times a second. */
void front_store_tick (FrontStore *store, int64_t now_ms);

#endif
