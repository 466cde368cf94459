/**
 * TCP sockets on the event loop: addresses, options, connecting and reading.
 */
#ifndef FRONT_SOCKET_H
#define FRONT_SOCKET_H

#include "front_link.h"
#include "http_reply.h"
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <stdbool.h>

/** Parses "IP:PORT". */
bool front_socket_parse_address (const char *text, struct sockaddr_in *out);
/** Disables Nagle's algorithm, and sets keep-alive so that a silent peer is noticed after
 *  timeout_ms. */
void front_socket_set_options (evutil_socket_t fd, int timeout_ms);
/** Bounds the kernel's buffers, in bytes, of a connection or of those that a listening socket will
 * accept. Without a bound the kernel lets each grow to megabytes. */
void front_socket_set_receive_buffer (evutil_socket_t fd, int bytes);
void front_socket_set_send_buffer (evutil_socket_t fd, int bytes);
/** How long a closed connection waits in the kernel for its peer to close its end; rounded to whole
 *  seconds. */
void front_socket_set_orphan_timeout (evutil_socket_t fd, int timeout_ms);
/** Ends the connection when bytes written to it are not acknowledged within timeout_ms. */
void front_socket_set_unacked_timeout (evutil_socket_t fd, int timeout_ms);
/** Whether a close, also by the end of the process, resets the connection and drops what is unsent.
 */
void front_socket_set_reset_on_close (evutil_socket_t fd, bool reset);
/** True if bytes that were written are not acknowledged by the other end. */
bool front_socket_has_unacked (evutil_socket_t fd);
/** Starts to connect, with the options above; NULL if no socket can be opened. */
struct bufferevent *
front_socket_connect (struct event_base *base, const struct sockaddr_in *address, int timeout_ms);
/** Counts what the connection sends and receives. link must outlive it. */
void front_socket_count (struct bufferevent *bev, FrontLink *link);
/** Feeds all received bytes to the reply's parser. */
void front_socket_feed_reply (struct bufferevent *bev, HttpReply *reply);

#endif
