/**
 * Choice of the backend server for one attempt.
 */
#ifndef CHOOSE_SERVER_H
#define CHOOSE_SERVER_H

#include "choose.h"
#include "choose_index.h"
#include <stdint.h>

/** What this gate knows of one backend server; the gate keeps one per ConfigServer by name. */
typedef struct
{
  int64_t in_flight;           /**< own requests in progress there */
  int64_t in_flight_at_report; /**< own requests in progress when the last report was taken */
  int64_t reported_load;       /**< requests running and queued, as last reported by the server */
  int64_t report_ms;           /**< boot-time clock of the report's arrival; 0: none yet */
  int64_t taken_ms;            /**< when the server took it, as far as choose_load.h can tell */
  double latency_ms;           /**< moving mean of the first token's time */
  double latency_var;          /**< its moving variance */
  double token_ms;             /**< moving mean of the time between tokens; 0: not known */
  int64_t open_until_ms;       /**< breaker: no new work before this time; 0: closed */
  unsigned failures;           /**< in a row */
  bool draining;               /**< the server itself said that it leaves */
} ServerView;

typedef struct
{
  const Config *config;
  const ServerView *views; /**< by server index */
  unsigned version;
  const char *failure_domain; /**< ours */
  const uint8_t *excluded;    /**< by server index: tried already; NULL: none */
  uint64_t prefix_hash;       /**< of the prompt's beginning; 0: none */
  uint64_t random;            /**< fresh random bits */
  int64_t now_ms;
  const char *service;      /**< name of a plain service in place of a version; NULL: an engine */
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

/** True if new work of this query may go to the server now: it carries the version or service, is
 *  neither leaving nor draining, its breaker is closed and it was not tried before. */
bool server_usable (const ServerQuery *query, unsigned server);

/** Requests that the server is thought to have now: our own, and those of other gates by its last
 *  report, which count less the older it is. */
double server_load (const ServerQuery *query, unsigned server);

#endif
