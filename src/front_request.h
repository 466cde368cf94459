/**
 * A caller's request from its reading to its answer.
 */
#ifndef FRONT_REQUEST_H
#define FRONT_REQUEST_H

#include "front.h"
#include "front_conn.h"

typedef struct FrontRequest FrontRequest;

FrontRequest *front_request_new (Front *front, FrontConn *conn);
/** Decides and sends; the answer may be given, and the request freed, before it returns. */
void front_request_start (FrontRequest *request);
/** The caller has left. Frees the request. */
void front_request_cancel (FrontRequest *request);
/** The caller has taken all that was written. */
void front_request_drained (FrontRequest *request);

/** Servers may have been found to have started again: what ran on their earlier starts is cut. */
void front_requests_cut_restarted (Front *front);
/** Requests in progress that were sent to this version of the service. */
unsigned front_request_running (const Front *front, const char *service, const char *version);

#endif
