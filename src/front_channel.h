/**
 * HTTP client connection to the platform's store or to another front, with one request at a time.
 * It is opened again after any error.
 */
#ifndef FRONT_CHANNEL_H
#define FRONT_CHANNEL_H

#include "http_reply.h"
#include <event2/event.h>
#include <netinet/in.h>
#include <stdbool.h>

typedef struct FrontChannel FrontChannel;

/** Called with the answer. status 0: none arrived, though the request may have taken effect. text
 *  is valid during the call only. */
typedef void (*ChannelCallback) (void *user, int status, const char *text, size_t len);

FrontChannel *front_channel_new (struct event_base *base,
                                 const struct sockaddr_in *address,
                                 ChannelCallback answer,
                                 void *user);
void front_channel_free (FrontChannel *channel);
/** Within the callback: the answer with its head; NULL if none arrived. */
const HttpReply *front_channel_answer (const FrontChannel *channel);
/** Sends a request; no other may be pending. body NULL: a GET. The request fails if no answer
 *  begins within timeout_ms, if an answer that has begun makes no progress, or if it is larger than
 *  any answer of the store. */
void
front_channel_request (FrontChannel *channel, const char *path, const Buffer *body, int timeout_ms);
/** Sets the address for the next request. No request may be pending. */
void front_channel_set_address (FrontChannel *channel, const struct sockaddr_in *address);
/** Sets the time-out of new connections in milliseconds; 0: that of the request. A VM without power
 *  doesn't refuse connections, and TCP retransmits its first packet only after a second. */
void front_channel_set_connect_timeout (FrontChannel *channel, int ms);
/** Cancels the pending request; its callback will not be called. */
void front_channel_cancel (FrontChannel *channel);
bool front_channel_is_pending (const FrontChannel *channel);
/** Bytes received of the answer to the last request, pending or failed. */
size_t front_channel_received (const FrontChannel *channel);
/** True while the answer to the pending request arrives. */
bool front_channel_is_receiving (const FrontChannel *channel);
/** True if nothing has arrived of the answer being received for a while. */
bool front_channel_is_stalled (const FrontChannel *channel);
/** True if the answer being received takes long or has stalled. */
bool front_channel_is_slow (const FrontChannel *channel);

#endif
