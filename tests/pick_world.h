/**
 * Backend servers of one service as one front knows them, and requests for them: for the tests of
 * the choice of a server.
 */
#ifndef PICK_WORLD_H
#define PICK_WORLD_H

#include "front_pick.h"

#define NOW 100000 /**< milliseconds */

extern FrontServers *servers;
extern FrontCall call; /**< of the requests: a prompt of two parts, 7,000 tokens */

/** Begins without servers. */
void setup (void);
ServerEntry entry_of (const char *id, const char *domain, const char *version);
/** Adds a server; ids of different lengths have different addresses. */
void add (const char *id, const char *domain, const char *version);
/** A request for the version; NULL: for any. */
PickQuery query_of (const char *version);
/** Id of the server that gets it, or "none". */
const char *picked (const PickQuery *query, int64_t now_ms);

#endif
