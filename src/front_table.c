#include "front_table.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

void
front_table_init (FrontTable *table)
{
  *table = (FrontTable){ 0 };
  CDS_INIT_LIST_HEAD (&table->entries);
}

static void
entry_free (TableEntry *entry)
{
  cds_list_del (&entry->node);
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

static TableEntry *
find (const FrontTable *table, const char *key)
{
  TableEntry *entry;

  cds_list_for_each_entry (entry, &table->entries, node)
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

  return entry ? &entry->row : NULL;
}

/* Moves the row's value into the table. */
static void
row_put (FrontTable *table, StoreRow *row)
{
  TableEntry *entry = find (table, row->key);

  if (!entry)
    {
      entry = memory_alloc (sizeof *entry);
      cds_list_add_tail (&entry->node, &table->entries);
    }
  free (entry->row.key);
  free (entry->row.value);
  entry->row = *row;
  row->key = NULL;
  row->value = NULL;
}

static void
row_take (FrontTable *table, StoreRow *row, TableChange change, void *user)
{
  TableEntry *entry = find (table, row->key);

  if (row->version > table->newest)
    table->newest = row->version;
  if (entry && row->version <= entry->row.version)
    return;
  change (user, row);
  if (!row->removed)
    row_put (table, row);
  else if (entry)
    entry_free (entry);
}

static void
version_raise (FrontTable *table, int64_t version)
{
  if (version > table->version)
    table->version = version;
}

void
front_table_changes (FrontTable *table, StoreAnswer *answer, TableChange change, void *user)
{
  for (unsigned i = 0; i < answer->count; i++)
    row_take (table, &answer->rows[i], change, user);
  version_raise (table, answer->version);
}

static bool
has_key (const StoreAnswer *answer, const char *key)
{
  for (unsigned i = 0; i < answer->count; i++)
    {
      if (answer->rows[i].key && strcmp (answer->rows[i].key, key) == 0)
        return true;
    }
  return false;
}

void
front_table_snapshot (FrontTable *table, StoreAnswer *answer, TableChange change, void *user)
{
  TableEntry *entry, *next;

  cds_list_for_each_entry_safe (entry, next, &table->entries, node)
  {
    StoreRow gone = { .key = entry->row.key, .version = answer->version, .removed = true };

    if (entry->row.version > answer->version || has_key (answer, entry->row.key))
      continue;
    change (user, &gone);
    entry_free (entry);
  }
  front_table_changes (table, answer, change, user);
}
