/**
 * Whether a connection to a backend server is kept after an answer, for how long, and which
 * requests may use it. No I/O.
 */
#ifndef FRONT_KEEP_H
#define FRONT_KEEP_H

#include "util_span.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Idle connections of this front over all servers. */
#define KEEP_CONNECTIONS_MAX 128
/** Milliseconds in which bytes written to a kept connection have to be acknowledged: as long as a
 *  new one may take to open. */
#define KEEP_UNACKED_TIMEOUT_MS 350
/** KeepCase.told_ms of an answer that names no time. */
#define KEEP_NOT_TOLD (-1)

/** A connection whose answer has ended. */
typedef struct
{
  bool is_believed; /**< the answer was relayed as the server's own to this request */
  bool is_framed;   /**< its end was shown by a length or by chunks, and nothing asks to close */
  bool has_surplus; /**< bytes followed it */
  bool is_written;  /**< the whole request was written */
  bool has_ended;   /**< the connection is closed */
  bool takes_work;  /**< the server does, and it is this start of it */
  int64_t told_ms;  /**< for which the server keeps an idle connection; KEEP_NOT_TOLD */
  int64_t max_ms;   /**< by the settings; 0: none is kept */
  unsigned there;   /**< idle connections of this front at the server */
  unsigned fronts;  /**< in all failure domains */
} KeepCase;

/** A request that is about to be sent. */
typedef struct
{
  bool is_idempotent;
  size_t body_len;
  unsigned attempts; /**< with this one */
  unsigned attempts_max;
} KeepUse;

/** Milliseconds for which the connection is kept; 0: it is closed. */
int64_t front_keep_ms (const KeepCase *c);
/** True if the request may be sent on a connection that its server may be closing. */
bool front_keep_may_use (const KeepUse *use);
/** Milliseconds from a Keep-Alive header; KEEP_NOT_TOLD if it names none or is absent. */
int64_t front_keep_told_ms (Span header);

#endif
