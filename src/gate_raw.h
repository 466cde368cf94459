/**
 * Refuses requests that have not arrived completely. libmicrohttpd accepts no response before the
 * end of a request, so these refusals are written directly to the caller's socket. Nothing else
 * writes to the socket while a request is being read.
 */
#ifndef GATE_RAW_H
#define GATE_RAW_H

#include "gate_refusal.h"

/** Appends the refusal to out as an HTTP response with "Connection: close". */
void gate_raw_answer (const Refusal *refusal, Buffer *out);
/** Writes that response to a socket. */
void gate_raw_refuse (int fd, const Refusal *refusal);
/** Reads and drops what the caller still sends, for at most a second: closing a socket with unread
 * bytes resets the connection, and the caller could lose the refusal. */
void gate_raw_drain (int fd);

#endif
