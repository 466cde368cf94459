/**
 * The limit that a backend server in need names in its answers: the requests per second that it
 * takes from all fronts together. No I/O.
 */
#ifndef FRONT_LIMIT_H
#define FRONT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  bool is_named;    /**< the server's latest known answer names a limit */
  double per_s;     /**< requests per second from all fronts together, if is_named */
  int64_t heard_ms; /**< arrival of the last answer that named it */
} ServerLimit;

/** An answer names a limit. True if that is news. */
bool server_limit_named (ServerLimit *limit, double per_s, int64_t now_ms);
/** The answer to a request that was sent at sent_ms names no limit. True if that ends one: answers
 *  overtake each other, so only a request sent after the limit was named tells that it ended. */
bool server_limit_absent (ServerLimit *limit, int64_t sent_ms);

#endif
