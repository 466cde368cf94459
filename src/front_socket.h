/**
 * Sockets of the event loop.
 */
#ifndef FRONT_SOCKET_H
#define FRONT_SOCKET_H

#include "http_reply.h"
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <stdbool.h>

/** Reads "IP:PORT". */
bool front_socket_parse_address (const char *text, struct sockaddr_in *out);
/** No delay, and a peer that stops answering is noticed after timeout_ms though no reset comes. */
void front_socket_set_options (evutil_socket_t fd, int timeout_ms);
/** Starts to connect; NULL if no descriptor is to be had. The connection is watched. */
struct bufferevent *
front_socket_connect (struct event_base *base, const struct sockaddr_in *address, int timeout_ms);
/** Feeds an answer with all bytes that have come. */
void front_socket_feed_reply (struct bufferevent *bev, HttpReply *reply);

#endif
