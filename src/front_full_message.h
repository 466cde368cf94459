/**
 * Message that a front sends to others when a brittle backend server turned one of its requests
 * away. One datagram, encoded by XDR.
 */
#ifndef FRONT_FULL_MESSAGE_H
#define FRONT_FULL_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FULL_MESSAGE_MAX 20 /**< bytes */

typedef struct
{
  uint64_t incarnation; /**< of the sender */
  uint64_t server;      /**< FrontServer.hash */
} FullMessage;

/** Returns the bytes written; 0 if they don't fit. */
size_t full_message_encode (const FullMessage *message, void *out, size_t size);
/** False if the data is not such a message. */
bool full_message_decode (FullMessage *message, const void *data, size_t len);

#endif
