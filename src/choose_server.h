/**
 * Selects the backend server for one attempt.
 */
#ifndef CHOOSE_SERVER_H
#define CHOOSE_SERVER_H

#include "choose.h"
#include "choose_index.h"
#include <stdint.h>

/** State of one backend server as known to this gate, which keeps one per server name. */
typedef struct
{
  int64_t in_flight;           /**< this gate's requests in progress there */
  int64_t in_flight_at_report; /**< this gate's requests in progress when the server took its last
                                  report */
  int64_t reported_load;       /**< requests running and queued, as last reported by the server */
  int64_t report_ms;     /**< boot-time clock at the arrival of the last report; 0: none yet */
  int64_t taken_ms;      /**< when the server took that report, as estimated by choose_load.h */
  double latency_ms;     /**< moving mean of the time until the first token */
  double latency_var;    /**< moving variance of the time until the first token */
  double token_ms;       /**< moving mean of the time between tokens; 0: unknown */
  int64_t open_until_ms; /**< circuit breaker: no new requests before this time; 0: closed */
  unsigned failures;     /**< consecutive failures */
  bool draining;         /**< the server announced that it is shutting down */
} ServerView;

typedef struct
{
  const Config *config;
  const ServerView *views; /**< by server index */
  unsigned version;
  const char *failure_domain; /**< this gate's */
  const uint8_t *excluded;    /**< servers already tried, by server index; NULL: none */
  uint64_t prefix_hash;       /**< hash of the prompt prefix; 0: none */
  uint64_t random;            /**< fresh random bits */
  int64_t now_ms;
  const char *service;      /**< name of a plain service; NULL: an engine that serves version */
  const ServerIndex *index; /**< servers that this gate watches; NULL: all */
} ServerQuery;

typedef struct
{
  const char *name; /**< e.g. "round-robin", "power-of-two" */
  /** Index of the server, or -1 if none is usable. */
  int (*pick) (const ServerQuery *query);
} ServerPolicy;

extern const ServerPolicy server_policy_default;
/** NULL if there is none of that name. */
const ServerPolicy *server_policy_find (const char *name);

/** True if the server may get this attempt: it serves the version or service, is neither leaving
 *  nor draining, its breaker is closed and it was not tried before. */
bool server_usable (const ServerQuery *query, unsigned server);

/** Estimated requests at the server: this gate's own, and those of other gates by its last report,
 *  which count less the older it is. */
double server_load (const ServerQuery *query, unsigned server);

#endif
