/**
 * Rows of the table `evidence`: one of each steward, by its incarnation, while roll-outs are open.
 */
#ifndef STEWARD_ROLLOUT_TABLE_H
#define STEWARD_ROLLOUT_TABLE_H

#include "platform.h"
#include "steward_evidence.h"

#define EVIDENCE_KEY_SIZE 24

/** This steward's row. One thread. */
typedef struct
{
  char key[EVIDENCE_KEY_SIZE];
  int64_t version; /**< of the row as last seen */
  bool known;
} EvidenceRow;

void evidence_row_init (EvidenceRow *row, uint64_t incarnation);
/** Writes totals. Conditional on the row's version: a write whose caller gave it up takes no effect
 *  after a later one, so that the row's totals never fall. */
StatusCode evidence_row_write (EvidenceRow *row, Platform *p, const char *text, Status *st);
/** Takes a row's totals of one roll-out; false if that roll-out is not open. */
typedef bool (*EvidenceHandler) (void *context, const char *key, const EvidenceRollout *totals);

/** Reads all rows, gives each roll-out in them, and deletes the rows that name one which is not
 *  open: it would count as evidence of a later one of the same versions. A row that was written
 *  meanwhile stays, and a steward whose row is gone writes it again with all its totals. */
StatusCode evidence_rows_read (Platform *p, EvidenceHandler handle, void *context, Status *st);

#endif
