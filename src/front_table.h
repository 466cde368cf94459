/**
 * Rows of one table of the store as this process has them, whether it read them there or another
 * front passed them on. A row's version tells the newer of two; no old news undoes a newer one.
 */
#ifndef FRONT_TABLE_H
#define FRONT_TABLE_H

#include "front_row.h"
#include <urcu/list.h>

/** Lists by hash of the key, short at some thousand servers. */
#define TABLE_BUCKETS 512

typedef struct
{
  struct cds_list_head node;
  struct cds_list_head bucket;
  StoreRow row;     /**< removed rows are kept for a while, to be told to others */
  bool in_snapshot; /**< while all rows are taken: it is among them */
} TableEntry;

typedef struct
{
  struct cds_list_head entries; /**< TableEntry by node */
  struct cds_list_head buckets[TABLE_BUCKETS];
  int64_t version; /**< of the store, up to which all changes are known; 0: none read yet */
  int64_t newest;  /**< version of the newest change seen: tells who knows more, where version
                        also rises without changes */
  unsigned removed_count;
  int64_t removals_dropped_to; /**< removals up to this version are no longer kept */
} FrontTable;

/** Told of each row that is new, changed or gone. */
typedef void (*TableChangeCallback) (void *user, const StoreRow *row);

void front_table_init (FrontTable *table);
void front_table_clear (FrontTable *table);
/** Takes changes: rows and removals, up to a version. */
void front_table_apply_changes (FrontTable *table,
                                StoreAnswer *answer,
                                TableChangeCallback change,
                                void *user);
/** Takes all rows as of a version: what is missing in them is gone, unless it is newer. */
void front_table_apply_snapshot (FrontTable *table,
                                 StoreAnswer *answer,
                                 TableChangeCallback change,
                                 void *user);
/** True if a change with this version, known elsewhere, is not known here. A table that was read as
 * a whole knows all changes up to its version, though it saw none of the removals among them. */
bool front_table_is_behind (const FrontTable *table, int64_t newest_elsewhere);
/** True if all changes since a version can still be told. */
bool front_table_has_changes_since (const FrontTable *table, int64_t since);
/** NULL if there is none. */
const StoreRow *front_table_find (const FrontTable *table, const char *key);

#endif
