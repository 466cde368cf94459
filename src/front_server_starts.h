/**
 * Records the latest known start of each backend server id, also after its entry is removed:
 * reports may arrive late, and an old one must not restore a process that has ended. A fixed-size
 * table in which a newer id replaces an older one with the same slot. No I/O.
 */
#ifndef FRONT_SERVER_STARTS_H
#define FRONT_SERVER_STARTS_H

#include "front_server_entry.h"

/** A power of two, three times the 660 servers of the largest planned site; 48 KiB. */
#define SERVER_STARTS_SLOTS 2048

typedef struct
{
  uint64_t id; /**< hash; 0: empty */
  int64_t born_ms;
  bool drained; /**< this start was reported as draining; it takes no work again */
} ServerStart;

typedef struct
{
  ServerStart slots[SERVER_STARTS_SLOTS];
} FrontServerStarts;

/** False if the entry belongs to a start that is over: a later one is known, or this one was
 *  draining and the entry says that it is ready. Otherwise records the entry. */
bool front_server_starts_accept (FrontServerStarts *starts, const ServerEntry *entry);

#endif
