/**
 * Message that a front sends to others when it sends prompts to backend servers: how long the
 * servers will read these. One datagram, encoded by XDR.
 */
#ifndef FRONT_WORK_MESSAGE_H
#define FRONT_WORK_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define WORK_REPORTS_MAX 16
#define WORK_MESSAGE_MAX (16 + 16 * WORK_REPORTS_MAX) /**< bytes */

typedef struct
{
  uint64_t server;  /**< FrontServer.hash */
  uint32_t read_ms; /**< milliseconds of reading of the prompts sent there since the last report on
                       this server */
  uint32_t running; /**< requests sent there since then, each weighted by its model, in
                       hundredths */
} WorkReport;

typedef struct
{
  uint64_t incarnation; /**< of the sender */
  uint32_t count;
  WorkReport reports[WORK_REPORTS_MAX];
} WorkMessage;

/** Returns the bytes written; 0 if they don't fit. */
size_t work_message_encode (const WorkMessage *message, void *out, size_t size);
/** False if the data is not such a message. */
bool work_message_decode (WorkMessage *message, const void *data, size_t len);

#endif
