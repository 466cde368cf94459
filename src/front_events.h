/**
 * Splits an event stream into events, so that each is forwarded completely or not at all, and keeps
 * the id of the last one forwarded. No I/O.
 */
#ifndef FRONT_EVENTS_H
#define FRONT_EVENTS_H

#include "util_buffer.h"
#include <stdbool.h>
#include <stdint.h>

#define EVENT_MAX_BYTES (1 << 20) /**< of an incomplete event that is waited for */

typedef struct
{
  int64_t last_id;   /**< of the last event forwarded; -1: none */
  int64_t forwarded; /**< events */
  bool id_skipped;   /**< an id was skipped; the stream can't continue */
} FrontEvents;

void front_events_init (FrontEvents *events);
/** Moves complete events from input to output. Drops those that were forwarded before, which a
 *  resumed stream may repeat. Stops where an id is skipped. */
void front_events_forward (FrontEvents *events, Buffer *input, Buffer *output);

#endif
