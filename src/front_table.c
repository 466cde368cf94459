#include "front_table.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

/* Removals kept at least; more are kept as long as they are no more than the living rows, so that a
 * roll-out that replaces half of the servers of a site drops none that other fronts may lack. */
#define REMOVED_MIN 512

void
front_table_init (FrontTable *table)
{
  *table = (FrontTable){ 0 };
  CDS_INIT_LIST_HEAD (&table->entries);
}

static void
entry_free (FrontTable *table, TableEntry *entry)
{
  cds_list_del (&entry->node);
  index_remove (&table->by_key, &entry->by_key);
  free (entry->row.key);
  free (entry->row.value);
  free (entry);
}

void
front_table_clear (FrontTable *table)
{
  TableEntry *entry, *next;

  cds_list_for_each_entry_safe (entry, next, &table->entries, node) entry_free (table, entry);
  index_clear (&table->by_key);
}

static TableEntry *
find (const FrontTable *table, const char *key)
{
  IndexEntry *at = index_first (&table->by_key, span_hash (span_of (key)));

  for (; at; at = index_next (&table->by_key, at))
    {
      TableEntry *entry = cds_list_entry (at, TableEntry, by_key);

      if (strcmp (entry->row.key, key) == 0)
        return entry;
    }
  return NULL;
}

const StoreRow *
front_table_find (const FrontTable *table, const char *key)
{
  TableEntry *entry = find (table, key);

  return entry && !entry->row.removed ? &entry->row : NULL;
}

const TableEntry *
front_table_next (const FrontTable *table, const TableEntry *entry, int64_t since)
{
  struct cds_list_head *next = entry ? entry->node.next : (struct cds_list_head *)&table->entries;

  /* New entries are at the end, and few are newer than the versions that other fronts have. */
  while (!entry && next->prev != &table->entries
         && cds_list_entry (next->prev, TableEntry, node)->row.version > since)
    next = next->prev;
  return next == &table->entries ? NULL : cds_list_entry (next, TableEntry, node);
}

static int64_t
oldest_removal (const FrontTable *table)
{
  TableEntry *entry;

  cds_list_for_each_entry (entry, &table->entries, node)
  {
    if (entry->row.removed)
      return entry->row.version;
  }
  return INT64_MAX;
}

static void
drop_removals (FrontTable *table, int64_t up_to)
{
  TableEntry *entry, *next;

  cds_list_for_each_entry_safe (entry, next, &table->entries, node)
  {
    if (entry->row.version > up_to)
      break;
    if (!entry->row.removed)
      continue;
    table->removed_count--;
    entry_free (table, entry);
  }
  if (up_to > table->removals_dropped_to)
    table->removals_dropped_to = up_to;
}

/* Inserts the entry behind all of its version or an older one. Rows arrive in the order of their
 * versions, so it is nearly always the last one. */
static void
insert_by_version (FrontTable *table, TableEntry *entry, int64_t version)
{
  struct cds_list_head *before = table->entries.prev;

  while (before != &table->entries
         && cds_list_entry (before, TableEntry, node)->row.version > version)
    before = before->prev;
  cds_list_add (&entry->node, before);
}

/* Moves the row's key and value into the table. */
static TableEntry *
row_put (FrontTable *table, TableEntry *entry, StoreRow *row)
{
  if (entry)
    cds_list_del (&entry->node);
  else
    {
      entry = memory_alloc (sizeof *entry);
      index_add (&table->by_key, &entry->by_key, span_hash (span_of (row->key)));
    }
  insert_by_version (table, entry, row->version);
  table->removed_count += row->removed;
  table->removed_count -= entry->row.removed;
  free (entry->row.key);
  free (entry->row.value);
  entry->row = *row;
  row->key = NULL;
  row->value = NULL;
  return entry;
}

/* True if the row was read again, as it was, after the store came back from a copy. */
static bool
is_unchanged (const TableEntry *entry, const StoreRow *row)
{
  return store_version_era (entry->row.version) < store_version_era (row->version)
         && store_version_number (entry->row.version) == store_version_number (row->version)
         && !entry->row.removed && !row->removed && entry->row.value_len == row->value_len
         && memcmp (entry->row.value, row->value, row->value_len) == 0;
}

/* Returns the entry of the row's key. */
static TableEntry *
row_apply (FrontTable *table, StoreRow *row, TableChangeCallback change, void *user)
{
  TableEntry *entry = find (table, row->key);

  if (entry && is_unchanged (entry, row))
    return entry;
  if (row->version > table->newest)
    table->newest = row->version;
  if (entry && row->version <= entry->row.version)
    return entry;
  if (!row->removed || (entry && !entry->row.removed))
    change (user, row);
  return row_put (table, entry, row);
}

bool
front_table_is_behind (const FrontTable *table, int64_t newest_elsewhere)
{
  return newest_elsewhere > table->version;
}

bool
front_table_keeps_changes_since (const FrontTable *table, int64_t since)
{
  bool is_known
      = store_version_era (since) >= store_version_era (table->version) || since <= table->era_from;

  return is_known && since >= table->removals_dropped_to;
}

bool
front_table_is_new_era (const FrontTable *table, int64_t version)
{
  return store_version_era (version) > store_version_era (table->version);
}

/* What changed in the new era is known relative to what was known here before: to others only if
 * they know no more than that. Of several eras only the last one's begin is remembered. */
static void
era_begin (FrontTable *table, int64_t version)
{
  if (table->version == 0 || !front_table_is_new_era (table, version))
    return;
  if (table->era_from != 0)
    drop_removals (table, store_version (store_version_era (table->version), 0));
  table->era_from = table->version;
}

static void
version_raise (FrontTable *table, int64_t version)
{
  if (version > table->version)
    table->version = version;
}

unsigned
front_table_living (const FrontTable *table)
{
  return table->by_key.count - table->removed_count;
}

/* Of a later version than the other front's, this one may know more rows. */
bool
front_table_lacks_removals (const FrontTable *table, const StoreAnswer *changes)
{
  return changes->has_living && table->version == changes->version
         && front_table_living (table) > changes->living;
}

static void
drop_old_removals (FrontTable *table)
{
  unsigned living = front_table_living (table);

  if (table->removed_count > REMOVED_MIN && table->removed_count > living)
    drop_removals (table, (oldest_removal (table) + table->newest) / 2);
}

void
front_table_apply_changes (FrontTable *table,
                           StoreAnswer *answer,
                           TableChangeCallback change,
                           void *user)
{
  era_begin (table, answer->version);
  for (unsigned i = 0; i < answer->count; i++)
    row_apply (table, &answer->rows[i], change, user);
  drop_old_removals (table);
  version_raise (table, answer->version);
}

/* Removes a row that is missing in a complete read of a later version. The version of the removal
 * itself is not known; it counts as a change with that of the read, as fronts that follow this one
 * would neither ask for it nor notice that they lack it. */
static void
row_remove (FrontTable *table,
            TableEntry *entry,
            StoreRow *removal,
            TableChangeCallback change,
            void *user)
{
  if (removal->version > table->newest)
    table->newest = removal->version;
  change (user, removal);
  row_put (table, entry, removal);
}

static int
compare_versions (const void *a, const void *b)
{
  int64_t first = ((const StoreRow *)a)->version, second = ((const StoreRow *)b)->version;

  return (first > second) - (first < second);
}

/* The rows go into the table first, in the order of their versions, as the table has to keep that
 * order; a complete read has them in the order of their keys. */
void
front_table_apply_snapshot (FrontTable *table,
                            StoreAnswer *answer,
                            TableChangeCallback change,
                            void *user)
{
  TableEntry *entry, *next;

  era_begin (table, answer->version);
  cds_list_for_each_entry (entry, &table->entries, node) entry->in_snapshot = false;
  qsort (answer->rows, answer->count, sizeof *answer->rows, compare_versions);
  for (unsigned i = 0; i < answer->count; i++)
    row_apply (table, &answer->rows[i], change, user)->in_snapshot = true;
  cds_list_for_each_entry_safe (entry, next, &table->entries, node)
  {
    StoreRow removal
        = { .key = memory_strdup (entry->row.key), .version = answer->version, .removed = true };

    if (!entry->row.removed && entry->row.version <= answer->version && !entry->in_snapshot)
      row_remove (table, entry, &removal, change, user);
    free (removal.key);
  }
  drop_old_removals (table);
  version_raise (table, answer->version);
}
