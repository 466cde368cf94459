/**
 * What a front tells others the moment it sends prompts to backend servers: how long these will
 * read. One datagram, encoded by XDR.
 */
#ifndef FRONT_WORK_MESSAGE_H
#define FRONT_WORK_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define WORK_ENTRIES_MAX 16
#define WORK_MESSAGE_MAX (16 + 16 * WORK_ENTRIES_MAX) /**< bytes */

typedef struct
{
  uint64_t server;  /**< FrontServer.hash */
  uint32_t read_ms; /**< reading that was sent there since the last note of it */
  uint32_t running; /**< requests, each counted by its model's share, in hundredths; the same */
} WorkEntry;

typedef struct
{
  uint64_t incarnation; /**< of the sender */
  uint32_t count;
  WorkEntry entries[WORK_ENTRIES_MAX];
} WorkMessage;

/** Bytes written; 0 if they don't fit. */
size_t work_message_encode (const WorkMessage *message, void *out, size_t size);
/** False if the bytes are no message of this kind. */
bool work_message_decode (WorkMessage *message, const void *data, size_t len);

#endif
