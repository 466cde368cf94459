/**
 * Refusals of requests that have not come whole: libmicrohttpd takes no answer before a request's
 * end, so these go to the caller's socket directly. While a request is being read nothing else
 * writes to its socket.
 */
#ifndef GATE_RAW_H
#define GATE_RAW_H

#include "gate_refusal.h"

/** Adds the refusal as one HTTP answer that closes the connection. */
void gate_raw_answer (const Refusal *refusal, Buffer *out);
/** Writes that answer to a socket. */
void gate_raw_refuse (int fd, const Refusal *refusal);
/** Takes and drops what the caller still sends, for a bounded time: closing a socket with unread
 *  bytes resets the connection, and the refusal would be lost on its way. */
void gate_raw_drain (int fd);

#endif
