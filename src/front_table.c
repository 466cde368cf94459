#include "front_table.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

/* Removals kept; a roll-out at a large site removes some hundred servers. */
#define REMOVED_MAX 512

void
front_table_init (FrontTable *table)
{
  *table = (FrontTable){ 0 };
  CDS_INIT_LIST_HEAD (&table->entries);
  for (unsigned i = 0; i < TABLE_BUCKETS; i++)
    CDS_INIT_LIST_HEAD (&table->buckets[i]);
}

static void
entry_free (TableEntry *entry)
{
  cds_list_del (&entry->node);
  cds_list_del (&entry->bucket);
  free (entry->row.key);
  free (entry->row.value);
  free (entry);
}

void
front_table_clear (FrontTable *table)
{
  TableEntry *entry, *next;

  cds_list_for_each_entry_safe (entry, next, &table->entries, node) entry_free (entry);
}

static unsigned
bucket_of (const char *key)
{
  return (unsigned)(span_hash (span_of (key)) % TABLE_BUCKETS);
}

static TableEntry *
find (const FrontTable *table, const char *key)
{
  TableEntry *entry;

  cds_list_for_each_entry (entry, &table->buckets[bucket_of (key)], bucket)
  {
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

static int64_t
oldest_removal (const FrontTable *table)
{
  TableEntry *entry;
  int64_t oldest = INT64_MAX;

  cds_list_for_each_entry (entry, &table->entries, node)
  {
    if (entry->row.removed && entry->row.version < oldest)
      oldest = entry->row.version;
  }
  return oldest;
}

static void
drop_removals (FrontTable *table, int64_t up_to)
{
  TableEntry *entry, *next;

  cds_list_for_each_entry_safe (entry, next, &table->entries, node)
  {
    if (!entry->row.removed || entry->row.version > up_to)
      continue;
    table->removed_count--;
    entry_free (entry);
  }
  table->removals_dropped_to = up_to;
}

/* Moves the row's key and value into the table. */
static void
row_put (FrontTable *table, TableEntry *entry, StoreRow *row)
{
  if (!entry)
    {
      entry = memory_alloc (sizeof *entry);
      cds_list_add_tail (&entry->node, &table->entries);
      cds_list_add (&entry->bucket, &table->buckets[bucket_of (row->key)]);
    }
  table->removed_count += row->removed;
  table->removed_count -= entry->row.removed;
  free (entry->row.key);
  free (entry->row.value);
  entry->row = *row;
  row->key = NULL;
  row->value = NULL;
}

static void
row_apply (FrontTable *table, StoreRow *row, TableChangeCallback change, void *user)
{
  TableEntry *entry = find (table, row->key);

  if (row->version > table->newest)
    table->newest = row->version;
  if (entry && row->version <= entry->row.version)
    return;
  if (!row->removed || (entry && !entry->row.removed))
    change (user, row);
  row_put (table, entry, row);
}

bool
front_table_is_behind (const FrontTable *table, int64_t newest_elsewhere)
{
  return newest_elsewhere > table->version;
}

bool
front_table_keeps_changes_since (const FrontTable *table, int64_t since)
{
  return since >= table->removals_dropped_to;
}

static void
version_raise (FrontTable *table, int64_t version)
{
  if (version > table->version)
    table->version = version;
}

void
front_table_apply_changes (FrontTable *table,
                           StoreAnswer *answer,
                           TableChangeCallback change,
                           void *user)
{
  for (unsigned i = 0; i < answer->count; i++)
    row_apply (table, &answer->rows[i], change, user);
  if (table->removed_count > REMOVED_MAX)
    drop_removals (table, (oldest_removal (table) + table->newest) / 2);
  version_raise (table, answer->version);
}

static void
mark_in_snapshot (FrontTable *table, const StoreAnswer *answer)
{
  TableEntry *entry;

  cds_list_for_each_entry (entry, &table->entries, node) entry->in_snapshot = false;
  for (unsigned i = 0; i < answer->count; i++)
    {
      entry = find (table, answer->rows[i].key);
      if (entry)
        entry->in_snapshot = true;
    }
}

/* Removes a row that is missing in a complete read of a later version. The version of the removal
 * itself is not known, so it doesn't count as the newest change. */
static void
row_remove (FrontTable *table,
            TableEntry *entry,
            StoreRow *removal,
            TableChangeCallback change,
            void *user)
{
  change (user, removal);
  row_put (table, entry, removal);
}

void
front_table_apply_snapshot (FrontTable *table,
                            StoreAnswer *answer,
                            TableChangeCallback change,
                            void *user)
{
  TableEntry *entry, *next;

  mark_in_snapshot (table, answer);
  cds_list_for_each_entry_safe (entry, next, &table->entries, node)
  {
    StoreRow removal
        = { .key = memory_strdup (entry->row.key), .version = answer->version, .removed = true };

    if (!entry->row.removed && entry->row.version <= answer->version && !entry->in_snapshot)
      row_remove (table, entry, &removal, change, user);
    free (removal.key);
  }
  front_table_apply_changes (table, answer, change, user);
}
