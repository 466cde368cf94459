/**
 * The head row and the view row as this steward read them last, and the writes that they call for:
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
  StewardViewRow row;
  StewardRemoval *removal;
  int64_t pending_since; /**< since when the row is pending or a number not accepted; 0: neither */
  int64_t backoff_ms;    /**< grows with each write that failed */
  int64_t next_write_at; /**< no write of a row before */
  bool wrote_pending;    /**< the pending row is ours: we establish it as soon as it is settled */
} StewardRows;

/** Takes the view over as far as our number allows. */
void steward_rows_adopt (StewardRows *r);
/** Makes the writes that are due and ours to make. accept_soon: a number that was made durable
 * here. */
void steward_rows_write_due (StewardRows *r, int64_t accept_soon, int64_t now);

#endif
