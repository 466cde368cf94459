/**
 * Rows of the table `evidence`: one per steward, with its incarnation as key, while roll-outs are
 * open.
 */
#ifndef STEWARD_ROLLOUT_TABLE_H
#define STEWARD_ROLLOUT_TABLE_H

#include "platform.h"
#include "steward_evidence.h"

#define EVIDENCE_KEY_SIZE 24

/** This steward's row; used by one thread. */
typedef struct
{
  char key[EVIDENCE_KEY_SIZE];
  int64_t version; /**< version of the row as last read or written */
  bool known;      /**< false: the version must be read before the next write */
} EvidenceRow;

void evidence_row_init (EvidenceRow *row, uint64_t incarnation);
/** Writes totals, on condition of the row's version: a write that timed out takes no effect after a
 * later one, so the totals in the row never fall. */
StatusCode evidence_row_write (EvidenceRow *row, Platform *p, const char *text, Status *st);
/** Receives a row's totals of one roll-out; returns false if that roll-out is not open. */
typedef bool (*EvidenceHandler) (void *context, const char *key, const EvidenceRollout *totals);

/** Reads all rows, passes each roll-out in them to handle, and deletes the rows that name a
 * roll-out that is not open: their totals would count for a later one of the same versions. A row
 * that was written since the read stays; a steward whose row was deleted writes it again with all
 * its totals. */
StatusCode evidence_rows_read (Platform *p, EvidenceHandler handle, void *context, Status *st);

#endif
