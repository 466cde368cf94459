/**
 * A caller's connection: reads one request after the other and writes its answer.
 */
#ifndef FRONT_CONN_H
#define FRONT_CONN_H

#include "front.h"
#include "http_request_parser.h"

typedef struct FrontConn FrontConn;

/** Takes a connection that was accepted. */
void front_conn_new (Front *front, evutil_socket_t fd);
/** The request that was read; valid until it is answered. */
HttpRequestParser *front_conn_intake (FrontConn *conn);
/** A whole answer: head is status line and fields, without the empty line. */
void front_conn_answer (FrontConn *conn, const Buffer *head, const void *body, size_t len);
/** An answer in pieces. */
void front_conn_stream_begin (FrontConn *conn, const Buffer *head);
void front_conn_stream_data (FrontConn *conn, const void *data, size_t len);
void front_conn_stream_end (FrontConn *conn);
/** Ends the connection so that the answer can't be taken for a whole one. */
void front_conn_abort (FrontConn *conn);
/** True if the caller takes bytes more slowly than they come. */
bool front_conn_is_full (const FrontConn *conn);
/** Time-outs of all connections, and the idle ones' end in a stop. */
void front_conn_sweep (Front *front, int64_t now_ms);
/** True if no answer waits to be sent; one whose request has ended may still be in a buffer. */
bool front_conn_all_written (const Front *front);

#endif
