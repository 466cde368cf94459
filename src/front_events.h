/**
 * Cuts the bytes of an event stream at the ends of its events, so that an event is passed on whole
 * or not at all, and knows the last one that was. No I/O.
 */
#ifndef FRONT_EVENTS_H
#define FRONT_EVENTS_H

#include "util_buffer.h"
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t last_id;   /**< of the last event passed on; -1: none */
  int64_t forwarded; /**< events passed on */
  bool gap;          /**< an event is missing between two; the stream can't go on */
} FrontEvents;

void front_events_init (FrontEvents *events);
/** Moves whole events from input to output; those that were passed on already are dropped, as a
 *  resumed stream may repeat them. */
void front_events_forward (FrontEvents *events, Buffer *input, Buffer *output);

#endif
