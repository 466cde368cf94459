#include "front_server_starts.h"
#include "util_id.h"
#include "util_memory.h"
#include <stdlib.h>

void
front_server_starts_init (FrontServerStarts *starts)
{
  *starts = (FrontServerStarts){ 0 };
  CDS_INIT_LIST_HEAD (&starts->list);
}

static void
start_remove (FrontServerStarts *starts, ServerStart *start)
{
  index_remove (&starts->by_id, &start->by_id);
  cds_list_del (&start->node);
  free (start);
}

void
front_server_starts_clear (FrontServerStarts *starts)
{
  ServerStart *start, *next;

  cds_list_for_each_entry_safe (start, next, &starts->list, node) start_remove (starts, start);
  index_clear (&starts->by_id);
}

static ServerStart *
start_add (FrontServerStarts *starts, uint64_t id, unsigned listed)
{
  unsigned max = SERVER_STARTS_PER_SERVER * listed;
  ServerStart *start = memory_alloc (sizeof *start);

  if (max < SERVER_STARTS_MIN)
    max = SERVER_STARTS_MIN;
  while (starts->by_id.count >= max)
    start_remove (starts, cds_list_first_entry (&starts->list, ServerStart, node));
  index_add (&starts->by_id, &start->by_id, id);
  cds_list_add_tail (&start->node, &starts->list);
  return start;
}

static ServerStart *
start_find (const FrontServerStarts *starts, uint64_t id)
{
  IndexEntry *found = index_first (&starts->by_id, id);

  return found ? cds_list_entry (found, ServerStart, by_id) : NULL;
}

/* Adds or updates the start as the one reported last. */
static void
start_record (FrontServerStarts *starts, const ServerEntry *entry, bool drained, unsigned listed)
{
  uint64_t id = id_hash_string (entry->id, 0);
  ServerStart *start = start_find (starts, id);

  if (!start)
    start = start_add (starts, id, listed);
  cds_list_del (&start->node);
  cds_list_add_tail (&start->node, &starts->list);
  start->born_ms = entry->born_ms;
  start->drained = drained;
}

bool
front_server_starts_accept (FrontServerStarts *starts, const ServerEntry *entry, unsigned listed)
{
  const ServerStart *start = start_find (starts, id_hash_string (entry->id, 0));

  if (start && entry->born_ms < start->born_ms)
    return false;
  if (start && entry->born_ms == start->born_ms && start->drained && !entry->draining)
    return false;
  start_record (starts, entry, entry->draining, listed);
  return true;
}

void
front_server_starts_end (FrontServerStarts *starts, const ServerEntry *entry, unsigned listed)
{
  const ServerStart *start = start_find (starts, id_hash_string (entry->id, 0));

  if (!start || entry->born_ms >= start->born_ms)
    start_record (starts, entry, true, listed);
}
