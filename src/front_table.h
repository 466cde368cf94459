/**
 * Local copy of one table of the store, read there or from another front. Each row's version
 * decides which of two copies is newer, so an old copy never replaces a newer one.
 */
#ifndef FRONT_TABLE_H
#define FRONT_TABLE_H

#include "front_row.h"
#include "util_index.h"

typedef struct
{
  struct cds_list_head node;
  IndexEntry by_key;
  StoreRow row; /**< removed rows are kept for a while, so that other fronts learn of the removal */
  bool in_snapshot; /**< while a complete read is applied: the row is part of it */
} TableEntry;

typedef struct
{
  struct cds_list_head entries; /**< TableEntry by node, in the order of their versions */
  Index by_key;
  int64_t version; /**< of the store, up to which all changes are known; 0: none read yet */
  int64_t newest;  /**< version of the newest change seen. Used to compare with other fronts, as
                      version also rises without changes. */
  unsigned removed_count;
  int64_t removals_dropped_to; /**< removals up to this version were dropped */
  int64_t era_from; /**< last version before the newest era began here; 0: there was none */
} FrontTable;

/** Called for each row that is new, changed or removed. */
typedef void (*TableChangeCallback) (void *user, const StoreRow *row);

void front_table_init (FrontTable *table);
void front_table_clear (FrontTable *table);
/** Applies rows and removals that changed up to a version. */
void front_table_apply_changes (FrontTable *table,
                                StoreAnswer *answer,
                                TableChangeCallback change,
                                void *user);
/** Applies a complete read of the table as of a version: rows missing in it are removed unless they
 *  are newer. Of several rows with one key the newest counts. In the first read of a new era, rows
 *  that are as they were keep their version, so that other fronts need only the differences. */
void front_table_apply_snapshot (FrontTable *table,
                                 StoreAnswer *answer,
                                 TableChangeCallback change,
                                 void *user);
/** Rows that are not removed. */
unsigned front_table_living (const FrontTable *table);
/** To be asked after another front's changes were applied: true if this table has rows that are
 *  removed there. A front that started after a removal doesn't know of it, and can't tell it. */
bool front_table_lacks_removals (const FrontTable *table, const StoreAnswer *changes);
/** True if a version is of a later era of the store than the table. */
bool front_table_is_new_era (const FrontTable *table, int64_t version);
/** True if a change with this version, known elsewhere, is not known here. A complete read includes
 *  all changes up to its version, though it shows none of the removals. */
bool front_table_is_behind (const FrontTable *table, int64_t newest_elsewhere);
/** True if all changes since a version, removals included, are still kept. */
bool front_table_keeps_changes_since (const FrontTable *table, int64_t since);
/** The entry behind this one in the order of versions; entry NULL: the first one newer than a
 *  version. NULL: there is none. */
const TableEntry *
front_table_next (const FrontTable *table, const TableEntry *entry, int64_t since);
/** NULL if there is no such row. */
const StoreRow *front_table_find (const FrontTable *table, const char *key);

#endif
