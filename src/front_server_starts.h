/**
 * The newest start that is known of each backend server id, also after its entry is gone: news of
 * servers may be late, and an old report must not bring back a process that has ended. A fixed
 * table in which a newer id displaces an older one with the same slot. No I/O.
 */
#ifndef FRONT_SERVER_STARTS_H
#define FRONT_SERVER_STARTS_H

#include "front_server_entry.h"

#define SERVER_STARTS_SLOTS                                                                        \
  2048 /**< a power of two, three times the 660 servers of the target; 48 KiB                      \
        */

typedef struct
{
  uint64_t id; /**< hash; 0: empty */
  int64_t born_ms;
  bool drained; /**< this start said that it drains; it takes no work again */
} ServerStart;

typedef struct
{
  ServerStart slots[SERVER_STARTS_SLOTS];
} FrontServerStarts;

/** False if the entry tells of a start that is over: a later one is known, or this one drained and
 *  the entry says that it is ready. Otherwise the entry is remembered. */
bool front_server_starts_accept (FrontServerStarts *starts, const ServerEntry *entry);

#endif
