/**
 * Connections of requests, replaced by records of what was asked of them, and timers and a clock
 * that a test advances. The test is linked without front_attempt.c and front_conn.c.
 */
#ifndef FRONT_FAKES_H
#define FRONT_FAKES_H

#include "front_request_private.h"

#define SENDS_MAX  32
#define STATUS_MAX 256

struct FrontAttempt
{
  FrontServer *server;
  HttpReply reply;
  const AttemptCallbacks *callbacks;
  void *user;
  bool sent;
};

struct FrontConn
{
  HttpRequestParser parser;
  unsigned answers;
  char status[STATUS_MAX]; /**< start of the last answer */
};

/** One send of a request, as its server sees it. */
typedef struct
{
  FrontAttempt *attempt;
  FrontServer *server;
  bool closed;
} Send;

extern Send sends[SENDS_MAX]; /**< since send_count was last set to 0 */
extern unsigned send_count;
extern int64_t clock_ms;
extern struct cds_list_head timers;

/** Advances the clock, and runs the timers that become due. */
void pass (int64_t ms);
/** The attempt's connection opens, as soon as it is started. */
void connect_send (unsigned i);
/** Bytes of an answer arrive. */
void answer (unsigned i, const char *text);

#endif
