/**
 * Message that a front sends to others when answers begin late: how long requests waited at backend
 * servers, or wait there by now. One datagram, encoded by XDR.
 */
#ifndef FRONT_WAITS_MESSAGE_H
#define FRONT_WAITS_MESSAGE_H

#include "front_waits.h"
#include <stddef.h>

#define WAITS_MESSAGE_MAX (16 + 16 * WAITS_TOLD_MAX) /**< bytes */

typedef struct
{
  uint64_t incarnation; /**< of the sender */
  uint32_t count;
  WaitReport reports[WAITS_TOLD_MAX];
} WaitsMessage;

/** Returns the bytes written; 0 if they don't fit. */
size_t waits_message_encode (const WaitsMessage *message, void *out, size_t size);
/** False if the data is not such a message. */
bool waits_message_decode (WaitsMessage *message, const void *data, size_t len);

#endif
