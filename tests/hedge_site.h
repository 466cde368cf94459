/**
 * A front with a plain service of four servers, and one caller. Connections are replaced by records
 * of what was asked of them, timers and the clock by ones that the test advances.
 */
#ifndef HEDGE_SITE_H
#define HEDGE_SITE_H

#include "front_conn.h"
#include "front_request_private.h"

#define SITE_SENDS_MAX    8
#define SITE_SLOTS        4 /**< of each server */
#define SITE_OBJECTIVE_MS 500
#define SITE_COPY_MS      250 /**< a copy is sent after half of the objective */
#define SITE_SILENCE_MS   300 /**< an attempt is given up after three fifths of it */
#define SITE_TIMEOUT_MS   4000
#define SITE_STATUS_MAX   128

struct FrontConn
{
  HttpRequestParser parser;
  unsigned answers;
  char status[SITE_STATUS_MAX]; /**< start of the last answer */
};

/** One send of a request, as its server sees it. */
typedef struct
{
  FrontAttempt *attempt;
  FrontServer *server;
  bool closed;
} HedgeSend;

typedef struct
{
  Front front;
  FrontConn conn;
  FrontConfig config;
  FrontRoute route;
  RouteTarget target;
  FrontRequest *request;
} HedgeSite;

extern HedgeSend site_sends[SITE_SENDS_MAX];
extern unsigned site_send_count;
extern int64_t site_clock_ms;

HedgeSite *site_new (void);
/** Checks that nothing is left over. */
void site_free (HedgeSite *site);
/** Lets time pass; timers run when they are due. */
void site_pass (int64_t ms);
bool site_has_no_timers (void);

/** The caller sends a request with these header fields. */
void site_call (HedgeSite *site, const char *fields);
/** Sends a request and waits until a copy of it was sent, too. */
void site_call_until_copied (HedgeSite *site);
/** The connection of a send opens, as soon as it is started. */
void site_connect (unsigned i);
/** The connection of a send is lost, or was never opened. */
void site_cut (unsigned i);
/** Bytes of an answer arrive. */
void site_answer (unsigned i, const char *text);
/** True if the caller got one answer, which begins so. */
bool site_has_answered (const HedgeSite *site, const char *status);

#endif
