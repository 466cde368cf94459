/**
 * The operators' HTTP API: authentication, authorisation and routing of calls.
 */
#ifndef STEWARD_HTTP_H
#define STEWARD_HTTP_H

#include "steward.h"

StewardHttp *steward_http_start (Steward *s, Status *st);
/** Returns after calls in progress have been answered. */
void steward_http_stop (StewardHttp *http);

#endif
