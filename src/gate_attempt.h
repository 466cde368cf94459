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

/** An engine's answer that is no longer needed and is to be cancelled there. */
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
  int version; /**< version index; -1: a plain service */
  HttpExchange *exchange;
  int http_status;
  Buffer peeked; /**< bytes of the body already read to find whether the request ran */
  int64_t begun_us;
  bool first_token_seen;
  double first_token_ms;
  int guard_reason;  /**< why gate_guard stopped the attempt; REASON_NONE: it did not */
  GateStream stream; /**< engines only */
  WatchEntry watch;  /**< engines only, and only for requests without a claim */
  bool watched;
} GateAttempt;

/**
 * Tries servers until one accepts the request; none is tried twice in a stage. On success
 * r->attempt is the attempt, with the head of a 200 response read (services: of any response);
 * otherwise r->refusal says why.
 */
bool gate_attempt_begin (struct GateRequest *r, int version);
/** Appends the next events of an engine's answer to out; see gate_stream_next. */
StreamResult gate_attempt_next (struct GateRequest *r, Buffer *out, Status *st);
/** Adds the attempt to the usage record, at its cost if charged, otherwise at no cost. */
void gate_attempt_bill (struct GateRequest *r, bool charged);
/** Closes the connection and frees the attempt. With SERVER_NEUTRAL, an engine's unfinished answer
 * is recorded in r->cancel. */
void gate_attempt_end (struct GateRequest *r, ServerResult result);
/** Cancels the answer recorded in r->cancel at its engine. Closing the connection is not enough:
 * the engine then continues for a while, since the stream could be resumed. */
void gate_attempt_cancel (struct GateRequest *r);

#endif
