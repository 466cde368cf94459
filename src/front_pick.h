/**
 * Which backend server gets a request: the one where it is predicted to begin its answer first,
 * counting the work that we have there, the prompt that it has to read, the way to it and how it
 * has treated us. No I/O.
 */
#ifndef FRONT_PICK_H
#define FRONT_PICK_H

#include "front_cold.h"
#include "front_servers.h"
#include "front_speeds.h"

#define PICK_TRIED_MAX 8

typedef struct
{
  const char *service;
  const char *version; /**< NULL: any */
  const FrontCall *call;
  uint64_t model;          /**< hash of the model's name */
  double running_share;    /**< what one request of the model adds to the time of a token of all
                              others, that of a middle-sized model being 1 */
  ReadTime read_time;      /**< of a prompt with that model */
  int64_t objective_ms;    /**< what the caller is ready to wait for the answer's begin */
  unsigned slots;          /**< of one server; 0: what its entry says */
  bool is_model;           /**< a model engine, not a plain service */
  ColdRule cold;           /**< of the service */
  int64_t affinity_tokens; /**< of the prompt's shared parts, those that are asked for so often that
                            all fronts of the failure domain agree on a server that keeps them */
  int64_t reuse_window_ms; /**< how long a server's cache is relied on */
  unsigned tried_count;
  uint64_t tried[PICK_TRIED_MAX]; /**< hashes of servers that this request was sent to */
} PickQuery;

typedef struct
{
  FrontServer *server;   /**< NULL: there is none */
  double predicted_ms;   /**< until the answer begins */
  double prompt_ms;      /**< of that, reading the prompt */
  int64_t prompt_tokens; /**< that it has to read, as far as is known */
  int64_t cold_wait_ms;  /**< until a cold server may get a request that was left out for the bound
                              of such servers; 0: none was */
  bool evacuated;        /**< servers were left out since their failure domain is evacuated */
  bool avoided;          /**< it is one to be avoided; there was no better */
} PickAnswer;

/** True if the request was sent to this server before. */
bool front_pick_was_tried (const PickQuery *query, const FrontServer *server);
PickAnswer front_pick (FrontServers *servers, const PickQuery *query, int64_t now_ms);

#endif
