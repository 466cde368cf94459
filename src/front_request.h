/**
 * Handles a caller's request from its arrival to its final answer.
 */
#ifndef FRONT_REQUEST_H
#define FRONT_REQUEST_H

#include "front.h"
#include "front_conn.h"

typedef struct FrontRequest FrontRequest;

FrontRequest *front_request_new (Front *front, FrontConn *conn);
/** Routes and sends the request. The answer may be given, and the request freed, before it
 *  returns. */
void front_request_start (FrontRequest *request);
/** The caller left. Frees the request. */
void front_request_cancel (FrontRequest *request);
/** The connection of its caller. */
FrontConn *front_request_conn (FrontRequest *request);
/** All data written to the caller has been taken; reading from the server resumes. */
void front_request_drained (FrontRequest *request);

/** Treats the attempts whose server has restarted like those with a lost connection. */
void front_requests_cut_restarted (Front *front);
/** Notes how long requests wait at model engines whose answers have not begun though due. */
void front_requests_note_silent (Front *front, int64_t now_ms);
/** Number of requests in progress that were sent to this version of the service. */
unsigned
front_requests_count_running (const Front *front, const char *service, const char *version);

#endif
