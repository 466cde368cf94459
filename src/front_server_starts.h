/**
 * Records the latest known start of each backend server id, also after its entry is removed:
 * reports may arrive late, and an old one must not restore a process that has ended. Ids that were
 * reported longest ago are dropped first, once there are far more than listed servers. No I/O.
 */
#ifndef FRONT_SERVER_STARTS_H
#define FRONT_SERVER_STARTS_H

#include "front_server_entry.h"
#include "util_index.h"

/** Ids kept at least; 80 bytes each. */
#define SERVER_STARTS_MIN 2048
/** Ids kept for each listed server: several releases replace all servers within minutes. */
#define SERVER_STARTS_PER_SERVER 4

typedef struct
{
  IndexEntry by_id; /**< hash */
  struct cds_list_head node;
  int64_t born_ms;
  bool drained; /**< this start was reported as draining, or said so; it takes no work again */
} ServerStart;

typedef struct
{
  Index by_id;
  struct cds_list_head list; /**< ServerStart by node, the one reported longest ago first */
} FrontServerStarts;

void front_server_starts_init (FrontServerStarts *starts);
void front_server_starts_clear (FrontServerStarts *starts);
/** False if the entry belongs to a start that is over: a later one is known, or this one was
 *  draining and the entry says that it is ready. Otherwise records the entry. listed: number of
 *  servers that are listed now. */
bool
front_server_starts_accept (FrontServerStarts *starts, const ServerEntry *entry, unsigned listed);

/** The start is over: it takes no work again, whatever entries say of it. */
void front_server_starts_end (FrontServerStarts *starts, const ServerEntry *entry, unsigned listed);

#endif
