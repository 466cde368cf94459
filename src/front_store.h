/**
 * This process's link to the platform's store: it follows the tables that matter, writes the status
 * of roll-outs, and passes on what it knows to other fronts.
 */
#ifndef FRONT_STORE_H
#define FRONT_STORE_H

#include "front.h"
#include "front_channel.h"
#include "front_row.h"

typedef enum
{
  STORE_OPERATOR, /**< configuration and orders of roll-outs */
  STORE_SERVERS,  /**< the backend servers' own entries */
  STORE_STATUS,   /**< how roll-outs stand */
  STORE_MEMBERS,  /**< the fronts' addresses */
  STORE_TABLES
} StoreTable;

/** NULL if the store's address can't be read. */
FrontStore *front_store_new (Front *front);
void front_store_free (FrontStore *store);
/** Version of the newest change known. */
int64_t front_store_newest (const FrontStore *store, StoreTable table);
/** True if we lack a change that another front knows. */
bool front_store_is_behind (const FrontStore *store, StoreTable table, int64_t newest_elsewhere);
/** Another front knows the table up to this version. If the store has not told us within a moment,
 *  its answer to our question is overdue and is asked for anew. */
void front_store_hint (FrontStore *store, StoreTable table, int64_t version, int64_t now_ms);
/** True while the store doesn't answer our questions about the table. */
bool front_store_is_lost (const FrontStore *store, StoreTable table);
/** Version up to which all changes are known; 0: none are. */
int64_t front_store_version (const FrontStore *store, StoreTable table);
/** True until the rows of a table are known, unless the store doesn't answer. */
bool front_store_is_loading (const FrontStore *store, StoreTable table);
/** True while rows of the table arrive, and arrive well. */
bool front_store_is_receiving (const FrontStore *store, StoreTable table);
/** What another front gave: unpacks and decodes it. False if it is no such answer. */
bool front_store_decode_peer_answer (const char *data, size_t len, StoreAnswer *answer);
/** Notes a question for rows whose answer didn't come whole, with the bytes of it that came.
 *  source: the front that was asked; NULL: the store. */
void front_store_log_rows_failed (const FrontStore *store,
                                  StoreTable table,
                                  const struct sockaddr_in *source,
                                  int64_t asked_ms,
                                  const FrontChannel *channel);
/** Rows of a table as another front has them: all changes since a version that is known here; 0:
 *  all rows. */
void front_store_apply_peer_rows (FrontStore *store,
                                  StoreTable table,
                                  int64_t since,
                                  StoreAnswer *answer);
/** Our rows of a table that changed since a version, in the store's own form; all rows if since is
 *  0. False if we don't know them. */
bool
front_store_encode_rows (const FrontStore *store, StoreTable table, int64_t since, Buffer *out);
/** True if there is a change since the version that front_store_encode_rows would tell. */
bool front_store_has_changes (const FrontStore *store, StoreTable table, int64_t since);
/** Path under which another front gives a table's changes; wait: not before there are some. */
void front_store_format_news_path (Buffer *out, StoreTable table, int64_t since, bool wait);
/** Reads such a path; false if it is none. */
bool front_store_parse_news_path (const char *path, StoreTable *table, int64_t *since, bool *wait);
/** How long a question for changes may be held until there are some. */
#define FRONT_LONG_POLL_MS 20000

/** Writes what the roll-outs' verdicts ask for. Called several times a second. */
void front_store_tick (FrontStore *store, int64_t now_ms);

#endif
