#include "front_server_starts.h"
#include "util_id.h"

bool
front_server_starts_accept (FrontServerStarts *starts, const ServerEntry *entry)
{
  uint64_t id = id_hash_string (entry->id, 0) | 1;
  ServerStart *start = &starts->slots[(id >> 32) & (SERVER_STARTS_SLOTS - 1)];
  bool same = start->id == id;

  if (same && entry->born_ms < start->born_ms)
    return false;
  if (same && entry->born_ms == start->born_ms && start->drained && !entry->draining)
    return false;
  *start = (ServerStart){ .id = id, .born_ms = entry->born_ms, .drained = entry->draining };
  return true;
}
