/**
 * The routing configuration that a front applies: one immutable, counted snapshot a version. A
 * request keeps the snapshot under which it was taken until it ends.
 */
#ifndef FRONT_CONFIG_H
#define FRONT_CONFIG_H

#include "util_span.h"

typedef enum
{
  ROUTE_IDEMPOTENT,     /**< may run more than once */
  ROUTE_NON_IDEMPOTENT, /**< runs at most once for each request */
  ROUTE_STREAM          /**< answered by events; idempotent only if resumable */
} RouteKind;

/** One backend service that a route sends to, with its share of the route's requests. */
typedef struct
{
  char *service;
  double weight; /**< relative to the route's other targets */
} RouteTarget;

typedef struct
{
  char *name;
  char *host;
  char *prefix; /**< of the path; begins and ends with a slash */
  RouteKind kind;
  int64_t timeout_ms;    /**< longest that a caller is kept waiting */
  int64_t objective_ms;  /**< to the answer, or to the first event of a stream */
  int64_t gap_ms;        /**< longest pause between events that is still on time */
  int64_t priority;      /**< 0 is the most urgent */
  unsigned attempts_max; /**< backend servers that one request may be sent to */
  bool is_public;        /**< needs no key */
  bool resumable;
  unsigned model_count;
  char **models; /**< the router chooses one of these, smallest first; none: the caller names it */
  unsigned target_count;
  RouteTarget *targets;
  uint64_t hash; /**< of the name */
} FrontRoute;

typedef struct
{
  char *name;
  unsigned key_count;
  char **keys;
  int64_t priority; /**< goes before the route's; -1: none */
} FrontTeam;

/** What the configuration says of a backend service. */
typedef struct
{
  char *name;
  unsigned slots;        /**< requests that one server runs at once; 0: not said */
  int64_t cold_start_ms; /**< how long a server stays cold after its start */
  double cold_per_s; /**< requests that a cold server bears in a second; 0: as many as a warm one */
  int64_t kv_tokens; /**< memory of one model engine; 0: a plain service */
} FrontService;

/** What a caller may send. */
typedef struct
{
  int64_t header_max_bytes;
  int64_t body_max_bytes;
  int64_t header_timeout_ms;
  int64_t idle_timeout_ms;
} FrontLimits;

typedef struct
{
  unsigned references;
  int64_t version;
  FrontLimits limits;
  unsigned route_count;
  FrontRoute *routes;
  unsigned team_count;
  FrontTeam *teams;
  unsigned service_count;
  FrontService *services;
} FrontConfig;

FrontConfig *front_config_new (void); /**< one reference */
FrontConfig *front_config_ref (FrontConfig *config);
void front_config_unref (FrontConfig *config); /**< NULL is allowed */

/** The route with the longest prefix of the path among the host's; NULL if none fits. */
const FrontRoute *front_config_route (const FrontConfig *config, Span host, Span path);
/** The team that holds the key; NULL if none does. */
const FrontTeam *front_config_team (const FrontConfig *config, Span key);
const FrontService *front_config_service (const FrontConfig *config, const char *name);
/** Rank of a request from 0, the most urgent: the team's, or else the route's. */
int64_t front_config_priority (const FrontRoute *route, const FrontTeam *team);
/** True if another attempt may run the request again. */
bool front_route_is_idempotent (const FrontRoute *route);

#endif
