/**
 * Chooses the backend server of a request: the one predicted to begin its answer first, by the work
 * queued there, the part of the prompt that it has to read, its failure domain and its health. No
 * I/O.
 */
#ifndef FRONT_PICK_H
#define FRONT_PICK_H

#include "front_cold.h"
#include "front_servers.h"
#include "front_speeds.h"
#include "front_waits.h"

#define PICK_TRIED_MAX 8

typedef struct
{
  const char *service;
  const char *version; /**< NULL: any */
  const FrontCall *call;
  uint64_t model;           /**< hash of the model's name */
  double running_weight;    /**< of a running request of the model (front_speeds_weight) */
  ReadTime read_time;       /**< reading time with that model */
  int64_t objective_ms;     /**< within which the answer should begin */
  unsigned slots;           /**< of a server whose entry gives none; 0: default */
  bool is_model;            /**< a model engine, not a plain service */
  double typical_ms;        /**< what an answer of a plain service usually takes; 0: not known, or
                               servers are not compared by it */
  ColdRule cold;            /**< limit for cold servers of the service */
  FrontShare share;         /**< this front's share of what a server may get from all fronts */
  int64_t affinity_tokens;  /**< tokens of the prompt's shared parts that are requested often enough
                               for all fronts of the failure domain to agree on a server that keeps
                               them cached */
  int64_t reuse_window_ms;  /**< how long a prompt is assumed to stay in a server's cache */
  uint64_t canary_hash_max; /**< servers with a larger hash are used only if the others are loaded;
                               0 or UINT64_MAX: none (front_canary) */
  double pause_ms;          /**< longest pause of a stream that is on time; 0: long reading is not
                               kept away from streams */
  const FrontWaits *waits;  /**< of model engines; NULL: none are believed */
  uint64_t service_hash;    /**< of the service's name; used with waits */
  unsigned rank;            /**< used with waits */
  uint64_t only_server;     /**< hash of the only server that may get it; 0: any */
  bool for_copy;            /**< of a request that runs elsewhere: only a server with a free slot
                               that is in no way spared */
  unsigned tried_count;
  uint64_t tried[PICK_TRIED_MAX]; /**< hashes of the servers that this request was sent to */
} PickQuery;

/** Why a server may not get the request now, but later. */
typedef enum
{
  PICK_WAIT_NONE,
  PICK_WAIT_COLD,    /**< it has started recently, and got this front's share */
  PICK_WAIT_LIMITED, /**< it names a limit, and got this front's share */
  PICK_WAIT_RESTING, /**< it asked this front for rest */
  PICK_WAIT_FULL,    /**< it is brittle, and has no room as far as this front knows */
  PICK_WAITS
} PickWait;

typedef struct
{
  FrontServer *server;   /**< NULL: none */
  double predicted_ms;   /**< milliseconds until the answer begins */
  double base_ms;        /**< part of predicted_ms that follows from known work */
  WaitBelief belief;     /**< the rest */
  double prompt_ms;      /**< part of predicted_ms spent reading the prompt */
  int64_t prompt_tokens; /**< prompt tokens that it has to read, as far as known */
  PickWait wait;         /**< why the server was excluded that may get a request first */
  int64_t wait_ms;       /**< milliseconds until then, from this front or another; 0: none was
                            excluded that may get one later */
  bool evacuated;        /**< servers were excluded because their failure domain is evacuated */
  bool avoided;          /**< the server is in an avoided state; there was no better one */
} PickAnswer;

/** True if the request was already sent to this server. */
bool front_pick_was_tried (const PickQuery *query, const FrontServer *server);
/** Chooses a server; if all are excluded, the answer tells why. */
PickAnswer front_pick (FrontServers *servers, const PickQuery *query, int64_t now_ms);

#endif
