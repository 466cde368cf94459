/**
 * Usage records of gates that are gone: those held here as copies and those in the object store are
 * brought to the table.
 */
#ifndef STEWARD_SETTLE_H
#define STEWARD_SETTLE_H

#include "steward.h"

/** A gate that its steward has not told of for this long, while that steward was heard of, is gone;
 *  so is one that nobody has told of since we started, if all members were heard of. */
#define STEWARD_GATE_GONE_MS INT64_C (60000)

/** Whether a gate may still write its records itself; when unsure, true. */
bool steward_settle_gate_alive (Steward *s, uint64_t gate, int64_t now);
/** One pass; recovery from the object store only if this member is the first of the view. */
void steward_settle (Steward *s, int64_t now);
/**
 * At a planned stop, when no further copies are taken: brings all copies held here to the table,
 * for at most about timeout_ms. Returns how many are left, which end with this process.
 */
size_t steward_settle_leave (Steward *s, int64_t timeout_ms);

#endif
