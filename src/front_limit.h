/**
 * The limit that a backend server in need names in its answers: the requests per second that it
 * takes from all fronts together. Each front paces its own requests by its share of it; they don't
 * ask each other. No I/O.
 */
#ifndef FRONT_LIMIT_H
#define FRONT_LIMIT_H

#include "front_share.h"

typedef struct
{
  bool is_named;    /**< the server's latest known answer names a limit */
  double per_s;     /**< requests per second from all fronts together, if is_named */
  int64_t named_ms; /**< arrival of the first answer that named it since it last named none */
  int64_t heard_ms; /**< arrival of the last answer that named it */
  int64_t sent_ms;  /**< this front's last request to the server; 0: none */
} ServerLimit;

/** An answer names a limit. True if that is news. */
bool server_limit_named (ServerLimit *limit, double per_s, int64_t now_ms);
/** The answer to a request that was sent at sent_ms names no limit. True if that ends one: answers
 *  overtake each other, so only a request sent after the limit was named tells that it ended. */
bool server_limit_absent (ServerLimit *limit, int64_t sent_ms);
/** Records a request that is being sent, whether or not a limit is named. */
void server_limit_sent (ServerLimit *limit, int64_t now_ms);
/** Milliseconds until this front may send the server a request; 0: now. */
int64_t server_limit_wait_ms (const ServerLimit *limit,
                              const FrontShare *share,
                              uint64_t server,
                              bool is_same_domain,
                              int64_t now_ms);
/** Milliseconds between two requests that the server takes from all fronts together: another front
 *  may be allowed to send after that time. */
int64_t server_limit_interval_ms (const ServerLimit *limit);

#endif
