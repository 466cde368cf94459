/**
 * One attempt of a request at one backend server.
 */
#ifndef GATE_ATTEMPT_H
#define GATE_ATTEMPT_H

#include "gate_servers.h"
#include "gate_stream.h"
#include "gate_watch.h"
#include "http_client.h"
#include "util_id.h"

struct GateRequest;

#define ATTEMPT_ID_MAX WATCH_ID_MAX

/** An engine's answer that nobody waits for any more. */
typedef struct
{
  char id[ATTEMPT_ID_MAX]; /**< empty: none */
  const ConfigServer *config_server;
} GateCancel;

typedef struct
{
  struct GateRequest *request;
  char id[ATTEMPT_ID_MAX]; /**< sent as X-Lovage-Request */
  const ConfigServer *config_server;
  GateServer *server;
  int version; /**< index; -1: a plain service */
  HttpExchange *exchange;
  int http_status;
  Buffer peeked; /**< bytes of the answer that were read to see whether it ran */
  int64_t begun_us;
  bool first_seen;
  double first_token_ms;
  int guard_reason;  /**< why may_finish said no; REASON_NONE: it did not */
  GateStream stream; /**< engines */
  WatchEntry watch;  /**< engines, while nobody holds a claim */
  bool watched;
} GateAttempt;

/**
 * Chooses servers until one takes the request; a server is never tried twice. On success the
 * attempt is r->attempt with the head of a 200 answer (services: any answer) read; otherwise
 * r->refusal says why.
 */
bool gate_attempt_begin (struct GateRequest *r, int version);
/** Next events of an engine's answer; see gate_stream_next. */
StreamResult gate_attempt_next (struct GateRequest *r, Buffer *out, Status *st);
/** Adds the attempt to the usage record; charged: at its cost, else at none. */
void gate_attempt_bill (struct GateRequest *r, bool charged);
/** Closes the exchange. An engine's answer that we ended ourselves (SERVER_NEUTRAL) is noted in
 *  r->cancel. */
void gate_attempt_end (struct GateRequest *r, ServerResult result);
/** Tells the engine to end the answer noted in r->cancel: after a closed connection alone it goes
 * on for a while, since the stream could be resumed. */
void gate_attempt_cancel (struct GateRequest *r);

#endif
