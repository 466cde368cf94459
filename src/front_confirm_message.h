/**
 * Message that a front sends to others when the store has shown it that it knows all of a table.
 * One datagram, encoded by XDR.
 */
#ifndef FRONT_CONFIRM_MESSAGE_H
#define FRONT_CONFIRM_MESSAGE_H

#include "front_confirm.h"
#include <stdbool.h>
#include <stddef.h>

#define CONFIRM_MESSAGE_MAX 32 /**< bytes */

typedef struct
{
  uint64_t incarnation; /**< of the front that asked the store */
  uint32_t table;
  Confirmation confirmation; /**< by the store's clock */
} ConfirmMessage;

/** Returns the bytes written; 0 if they don't fit. */
size_t confirm_message_encode (const ConfirmMessage *message, void *out, size_t size);
/** False if the data is not such a message. */
bool confirm_message_decode (ConfirmMessage *message, const void *data, size_t len);

#endif
