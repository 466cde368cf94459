/**
 * Writes usage records of gates that no longer run to the table: the copies held here and those in
 * the object store.
 */
#ifndef STEWARD_RECOVER_H
#define STEWARD_RECOVER_H

#include "steward.h"

/** A gate that its steward has not reported for this long, although the steward itself is alive, no
 * longer runs. Nor does a gate that no steward has reported since this process started, if that was
 * longer ago and all members are alive. */
#define STEWARD_GATE_TERMINATED_MS INT64_C (60000)

/** True if a gate may still write its records itself, or if that is not certain. */
bool steward_recover_gate_alive (Steward *s, uint64_t gate, int64_t now);
/** Writes the copies held here of gates that no longer run. The first live member of the view also
 * recovers records from the object store, once a minute. */
void steward_recover (Steward *s, int64_t now);
/**
 * To be called at a graceful stop, when no further copies arrive: writes all copies held here to
 * the table, for about timeout_ms at most. Returns the number of records left, which are lost with
 * this process.
 */
size_t steward_recover_at_stop (Steward *s, int64_t timeout_ms);

#endif
