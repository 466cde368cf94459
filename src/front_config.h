/**
 * The routing configuration: one immutable, reference-counted snapshot for each version. A request
 * keeps the snapshot with which it started until it ends.
 */
#ifndef FRONT_CONFIG_H
#define FRONT_CONFIG_H

#include "util_span.h"

typedef enum
{
  ROUTE_IDEMPOTENT,     /**< may be sent again after it may have run */
  ROUTE_NON_IDEMPOTENT, /**< must run at most once */
  ROUTE_STREAM          /**< answered by a stream of events; idempotent only if resumable */
} RouteKind;

/** A backend service of a route and its share of the route's requests. */
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
  int64_t timeout_ms;    /**< longest time that a caller waits for the answer */
  int64_t objective_ms;  /**< latency objective: to the answer, or to the first event of a stream */
  int64_t gap_ms;        /**< longest pause between two events that meets the objective */
  int64_t priority;      /**< 0 is the most urgent */
  unsigned level;        /**< of its urgency among the routes to the same services; 0 is first */
  bool may_yield;        /**< at all of its services its requests can wait for those of the next
                              level */
  unsigned attempts_max; /**< maximum number of backend servers that one request is sent to */
  bool is_public;        /**< needs no API key */
  bool resumable;
  unsigned model_count;
  char **models; /**< the router chooses one of these, smallest first; none: the caller names the
                    model */
  unsigned target_count;
  RouteTarget *targets;
  uint64_t hash; /**< of the name */
} FrontRoute;

typedef struct
{
  char *name;
  unsigned key_count;
  char **keys;
  int64_t priority; /**< overrides the route's; -1: none */
  unsigned place;   /**< of its priority among those of all teams; 0 is first */
  uint64_t hash;    /**< of the name; never 0 */
} FrontTeam;

/** A backend service as the configuration describes it. */
typedef struct
{
  char *name;
  unsigned slots;         /**< requests that one server runs at once; 0: not given */
  int64_t cold_start_ms;  /**< how long a server stays cold after its start */
  double cold_per_s;      /**< requests per second to a cold server; 0: as many as to a warm one */
  int64_t kv_tokens;      /**< key-value cache of one model engine; 0: a service without models */
  double objective_ratio; /**< of the longest to the shortest objective of the routes that may go
                             there and choose among models; 0: there is no such route */
} FrontService;

/** Limits on what a caller may send. */
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
  unsigned no_team_place;  /**< FrontTeam.place of requests without a team */
  unsigned odd_priorities; /**< teams whose priority is out of range, and counts as none */
  unsigned service_count;
  FrontService *services;
} FrontConfig;

FrontConfig *front_config_new (void); /**< returns the only reference */
FrontConfig *front_config_ref (FrontConfig *config);
void front_config_unref (FrontConfig *config); /**< NULL is allowed */

/** The route of the host with the longest prefix of the path; NULL if there is none. */
const FrontRoute *front_config_route (const FrontConfig *config, Span host, Span path);
/** The team that holds the API key; NULL if there is none. */
const FrontTeam *front_config_team (const FrontConfig *config, Span key);
const FrontService *front_config_service (const FrontConfig *config, const char *name);
/** Priority of a request from 0, the most urgent: the team's, or else the route's. */
int64_t front_config_priority (const FrontRoute *route, const FrontTeam *team);
/** Rank of a request by the priority of its team, then by the level of its route: 0, the first, to
 *  URGENCY_RANK_MAX. */
unsigned
front_config_rank (const FrontConfig *config, const FrontRoute *route, const FrontTeam *team);
/** The first rank of the team's requests, whatever their route. */
unsigned front_config_first_rank (const FrontConfig *config, const FrontTeam *team);
/** Derives what follows from several parts of the configuration; called once all are read. */
void front_config_complete (FrontConfig *config);
/** True if the routes of a model service allow their callers' answers to begin at times that differ
 *  by this factor or more: who waits there under load is then a decision. A ratio of 0 is never
 *  reached. */
bool front_config_is_contended (const FrontConfig *config, double ratio);
/** True if a request may be sent again after it may have run. */
bool front_route_is_idempotent (const FrontRoute *route);

#endif
