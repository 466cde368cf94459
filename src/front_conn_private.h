/**
 * Internal interface shared by the front_conn*.c files.
 */
#ifndef FRONT_CONN_PRIVATE_H
#define FRONT_CONN_PRIVATE_H

#include "front_conn.h"
#include "front_memory.h"
#include "front_request.h"
#include "http_arrival.h"
#include <event2/bufferevent.h>

/* Bytes that are read at a time, and of the next requests while one is being answered. */
#define CONN_READ_AHEAD_BYTES 8192
/* Retry-After of requests refused for lack of room: by then callers that hold requests back have
 * given up what they take. */
#define CONN_RETRY_AFTER_FULL_MS HTTP_ARRIVAL_GRACE_MS
/* Milliseconds without an acknowledgement after which a connection counts as lost. */
#define CONN_TCP_TIMEOUT_MS 6000

struct FrontConn
{
  struct cds_list_head node;
  Front *front;
  struct bufferevent *bev; /* NULL once it is freed */
  HttpRequestParser request_parser;
  FrontRequest *request; /* being answered; NULL: none */
  bool reading;          /* set while conn_read runs, so that the end of an answer doesn't call it
                            recursively */
  bool close_after;      /* close the connection after this answer */
  bool chunked;
  bool is_streaming;      /* the head of an answer of unknown length was written, its end was not */
  bool is_reset_on_close; /* as its answer would otherwise end as if it were complete */
  bool has_served;        /* it has carried a request */
  bool freed;             /* awaits its removal by the next sweep */
  bool closing;           /* nothing more is read; freed once all output is written */
  bool has_large_buffer;  /* in the kernel, for a long answer */
  int64_t since_ms;       /* last change between idle, reading a request and answering it */
  int64_t idle_timeout_ms;
  int64_t taken_ms;         /* when the caller last took bytes of its answer, or had taken all */
  size_t held[MEMORY_USES]; /* bytes counted in the front's memory */
};

/* front_conn.c */
/* Closes the connection at once. Callers of this function may still read conn, so its memory is
 * freed by the next sweep. */
void conn_free (FrontConn *conn);
void conn_destroy (FrontConn *conn);
/* Starts an idle period with the time-out that is in force now. If the configuration lowers it
 * later, this period is not shortened: callers rely on the time-out in force at its start. */
void conn_idle_begin (FrontConn *conn);
/* Reads requests from the input buffer until one has to be answered. */
void conn_read (FrontConn *conn);
/* Answers a request that was not read to its end, and closes the connection. */
void conn_refuse (FrontConn *conn, int status, int64_t retry_after_ms);
/* True if a request has begun to arrive. */
bool conn_is_arriving (const FrontConn *conn);
size_t conn_unread (const FrontConn *conn);

/* front_conn_answer.c */
void conn_log_lost (const FrontConn *conn, const char *reason);
/* All output was handed to the kernel, which sends it before it ends the connection. */
void conn_close_written (FrontConn *conn);

/* front_conn_room.c */
/* Logs that the connection makes room for others, or gets none. */
void conn_log_room (const FrontConn *conn, const char *reason, int64_t for_ms);
/* Counts what the connection holds now. */
void conn_account (FrontConn *conn);
/* Refuses or closes connections until the bytes held for callers are within their bounds, or no
 * connection is left that may be. Frees requests: only to be called by the event loop's callbacks
 * themselves. */
void conn_relieve (Front *front);

#endif
