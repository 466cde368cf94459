/**
 * Reads and writes of the view row, and acceptance of a number, which is conditional on that row.
 * Each write is one transaction with checks of the view row and the head row, and an entry of the
 * audit trail.
 */
#ifndef STEWARD_VIEW_H
#define STEWARD_VIEW_H

#include "cluster_view.h"
#include "steward_audit.h"
#include "steward_head.h"

/** The view row as last read or written. */
typedef struct
{
  ClusterView view; /**< number 0: no row exists */
  int64_t version;  /**< version of the row; 0: the row is absent */
  bool known;       /**< false: the row must be read (again) before a write */
} StewardViewRow;

StatusCode steward_view_read (Platform *p, int timeout_ms, StewardViewRow *row, Status *st);

/** Replaces row, which was read together with head, by next. With STATUS_OK row holds next,
 * otherwise row is no longer known. */
StatusCode steward_view_write (Platform *p,
                               int timeout_ms,
                               StewardViewRow *row,
                               const StewardHead *head,
                               const ClusterView *next,
                               const StewardAuditEntry *audit,
                               Status *st);

/** Raises the accepted number; with STATUS_OK *head is the new row. After a conflict both rows must
 * be read again. */
StatusCode steward_view_accept (Platform *p,
                                int timeout_ms,
                                const StewardViewRow *row,
                                StewardHead *head,
                                int64_t number,
                                const char *who,
                                Status *st);

#endif
