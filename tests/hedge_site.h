/**
 * A front with a plain service of four servers, and one caller.
 */
#ifndef HEDGE_SITE_H
#define HEDGE_SITE_H

#include "front_fakes.h"

#define SITE_SLOTS        4 /**< of each server */
#define SITE_OBJECTIVE_MS 500
#define SITE_COPY_MS      250 /**< a copy is sent after half of the objective */
#define SITE_SILENCE_MS   300 /**< an attempt is given up after three fifths of it */
#define SITE_TIMEOUT_MS   4000

typedef struct
{
  Front front;
  FrontConn conn;
  FrontConfig config;
  FrontRoute route;
  RouteTarget target;
  FrontRequest *request;
} HedgeSite;

HedgeSite *site_new (void);
/** Checks that nothing is left over. */
void site_free (HedgeSite *site);

/** The caller sends a request with these header fields. */
void site_call (HedgeSite *site, const char *fields);
/** Sends a request and waits until a copy of it was sent, too. */
void site_call_until_copied (HedgeSite *site);
/** True if the caller got one answer, which begins so. */
bool site_has_answered (const HedgeSite *site, const char *status);

#endif
