/**
 * A caller's connection: reads one request after the other and writes the answers.
 */
#ifndef FRONT_CONN_H
#define FRONT_CONN_H

#include "front.h"
#include "http_request_parser.h"

typedef struct FrontConn FrontConn;

/** Bytes in the kernel's buffers of a connection, each way. What it holds and was not read yet
 * counts as memory of the VM; less would be slow with the long packets of some networks. */
#define CONN_BUFFER_BYTES 32768

/** Bounds what the connections that a listening socket will accept take in the kernel: their
 * buffers, and how long they outlast their close if the caller doesn't close its end. */
void front_conn_bound (evutil_socket_t listener);
/** Serves an accepted connection, and closes it in the end. */
void front_conn_new (Front *front, evutil_socket_t fd);
/** The request being answered; valid until its answer is written. */
HttpRequestParser *front_conn_request_parser (FrontConn *conn);
/** Writes a complete answer: head holds the status line and header fields, without the empty line.
 * Takes the memory of body over and leaves body empty. After front_conn_stream_begin nothing can be
 * written but the rest of that stream: the connection is ended as by front_conn_abort instead. */
void front_conn_answer (FrontConn *conn, const Buffer *head, Buffer *body);
/** Write an answer of unknown length. */
void front_conn_stream_begin (FrontConn *conn, const Buffer *head);
void front_conn_stream_data (FrontConn *conn, const void *data, size_t len);
void front_conn_stream_end (FrontConn *conn);
/** Ends the connection so that the caller can't take the answer for complete. */
void front_conn_abort (FrontConn *conn);
/** True if the caller reads its answer more slowly than it is produced. */
bool front_conn_output_is_full (const FrontConn *conn);
/** Applies the time-outs of all connections, and closes idle ones during a stop. */
void front_conn_sweep (Front *front, int64_t now_ms);
/** Closes up to max idle connections, those that have been idle longest; returns their number. */
unsigned front_conn_close_idle (Front *front, unsigned max);
/** Closes a connection for a new one: the one whose caller holds back its request or takes no byte
 * of its answer for longest, else the one that has been idle for longest. False: there is none. May
 * free requests. */
bool front_conn_close_one (Front *front);
/** True if all answers were handed to the kernel, no request is arriving, and no new connection is
 * likely to carry one. */
bool front_conn_all_done (const Front *front, int64_t now_ms);

#endif
