/**
 * A wrapper of a platform that counts table calls: the reads and transactions that this steward
 * sends, and about how many bytes they take on the wire.
 */
#ifndef STEWARD_METER_H
#define STEWARD_METER_H

#include "platform.h"

/** Takes ownership of inner; platform_free frees both. */
Platform *steward_meter_new (Platform *inner);

#endif
