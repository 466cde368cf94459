/**
 * A connection on which this process asks one HTTP question after the other: to the platform's
 * store, or to another front. It is opened again after any error.
 */
#ifndef FRONT_CHANNEL_H
#define FRONT_CHANNEL_H

#include "http_reply.h"
#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>

typedef struct FrontChannel FrontChannel;

/** status 0: no answer came; the question may have had its effect. text is valid in the call. */
typedef void (*ChannelCallback) (void *user, int status, const char *text, size_t len);

FrontChannel *front_channel_new (struct event_base *base,
                                 const struct sockaddr_in *address,
                                 ChannelCallback answer,
                                 void *user);
void front_channel_free (FrontChannel *channel);
/** Asks; no other question may be open. body NULL: a GET without one. The question fails if no
 *  answer begins within timeout_ms; one that has begun may take longer, as long as it moves, and
 *  fails if it is larger than any answer of the store. */
void
front_channel_request (FrontChannel *channel, const char *path, const Buffer *body, int timeout_ms);
/** The next question goes to this address. No question may be open. */
void front_channel_set_address (FrontChannel *channel, const struct sockaddr_in *address);
/** A new connection is given up after so many milliseconds; 0: only with the question. A VM without
 *  power doesn't refuse connections, and TCP tries again after a second only. */
void front_channel_set_connect_timeout (FrontChannel *channel, int ms);
/** Forgets an open question; its answer will not come. */
void front_channel_cancel (FrontChannel *channel);
bool front_channel_is_pending (const FrontChannel *channel);
/** Bytes that have come of the answer to the last question, which failed or is open. */
size_t front_channel_received (const FrontChannel *channel);
/** True while the answer to the open question arrives. */
bool front_channel_is_receiving (const FrontChannel *channel);
/** True if that takes long, or has come to a stop. */
bool front_channel_is_slow (const FrontChannel *channel);

#endif
