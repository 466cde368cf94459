/**
 * Input of a simulation run: the site, its load and its faults, and the policies to compare.
 */
#ifndef MODEL_SCENARIO_H
#define MODEL_SCENARIO_H

#include "choose_cascade.h"
#include "choose_limit.h"
#include "choose_quarantine.h"
#include "choose_retry.h"
#include "choose_rollout.h"
#include "choose_server.h"
#include "model_config.h"

typedef enum
{
  FAULT_RATE,        /**< the callers' rate is multiplied by factor */
  FAULT_DOMAIN_DOWN, /**< engines and gates of failure domain subject go down */
  FAULT_DOMAIN_UP,
  FAULT_ENGINES_DOWN, /**< engines 0 to subject - 1 die */
  FAULT_ENGINES_UP,
  FAULT_LAG, /**< load reports are factor milliseconds old */
  FAULT_RATING_DOWN,
  FAULT_RATING_UP,
  FAULT_QUALITY,      /**< the pass chances of kind subject are multiplied by factor */
  FAULT_ROLLOUT,      /**< the roll-out of the candidate begins */
  FAULT_TEAM_QUALITY, /**< the candidate's pass chances for team subject are multiplied by factor */
  FAULT_SLOW,         /**< the candidate takes factor times as long */
  FAULT_FLOOD,        /**< the rate of team subject is multiplied by factor */
  FAULT_CRASH         /**< a caller sends a request that crashes engines, again and again */
} FaultKind;

typedef struct
{
  int64_t at_ms; /**< virtual time; 0 ends a scenario's list of faults */
  FaultKind kind;
  unsigned subject; /**< meaning by kind */
  double factor;    /**< meaning by kind */
} ModelFault;

#define FAULTS_MAX 8

/** Kinds of versions, by quality and speed: the draft models by rising cost, the ledger model, and
 *  the candidate version of draft-s. */
typedef enum
{
  KIND_SMALL,
  KIND_MEDIUM,
  KIND_LARGE,
  KIND_LEDGER,
  KIND_CANDIDATE,
  MODEL_KINDS
} ModelKind;

typedef struct
{
  const char *name;
  ModelConfigOptions config;
  unsigned gates;
  unsigned callers;         /**< of each team */
  double rate;              /**< new requests per second */
  double direct_share;      /**< of requests that name a model instead of a class */
  const char *direct_model; /**< that they name; NULL: draft-m */
  double issue_share;       /**< of the other requests: those of the non-idempotent class "issue" */
  double prefix_share;      /**< of prompts that begin with one of the shared prefixes */
  unsigned slow_every;      /**< N: every Nth engine takes half as long again; 0: none */
  int64_t warm_ms;          /**< warm-up, not measured */
  int64_t length_ms;        /**< of the run, including the warm-up */
  int64_t report_every_ms;  /**< between two readings of the load reports by a gate */
  int64_t report_lag_ms;    /**< age of a load report when it is read */
  int64_t timeout_ms;       /**< of an attempt that has not started to run */
  int64_t hop_ms;           /**< one way, between failure domains */
  bool no_caller_retries;   /**< callers do not send refused requests again */
  bool ignore_cancel;       /**< engines run attempts to their end although they were cancelled */
  ModelFault faults[FAULTS_MAX];
} ModelScenario;

typedef struct
{
  const char *name;
  const ServerPolicy *server;   /**< NULL: the oracle, by the engines' true loads */
  const CascadePolicy *cascade; /**< NULL: the oracle, by the true pass chances */
  const RetryPolicy *retry;
  const RolloutPolicy *rollout; /**< NULL: the roll-out stays in its first stage */
  const LimitPolicy *limit;     /**< NULL: everything is admitted */
  bool quarantine;              /**< requests that crash engines are refused */
} ModelPolicy;

#endif
