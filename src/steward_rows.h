/**
 * The head row and the view row as this steward last read them, and the writes that are due:
 * registration, establishing, removal, acceptance. Used by one thread.
 */
#ifndef STEWARD_ROWS_H
#define STEWARD_ROWS_H

#include "steward.h"
#include "steward_removal.h"
#include "steward_view.h"

typedef struct
{
  Steward *s;
  StewardHead head;
  StewardViewRow row; /**< the view row */
  StewardRemoval *removal;
  int64_t pending_since; /**< time since which the view is not established or a number not accepted;
                            0: neither */
  int64_t backoff_ms;    /**< current back-off, which grows with each failed write */
  int64_t next_write_at; /**< no write before this time */
  bool wrote_pending;    /**< this steward wrote the pending view and establishes it as soon as
                            possible */
} StewardRows;

/** Adopts the view in the row, as far as the applied number allows. */
void steward_rows_adopt (StewardRows *r);
/** Makes the writes that are due and that this steward is to make. accept_soon: a number that was
 * made durable here, to be accepted without delay. */
void steward_rows_write_due (StewardRows *r, int64_t accept_soon, int64_t now);

#endif
