/**
 * Simulated site on a virtual clock: callers, gates that decide by the modules under test, and
 * engines.
 */
#ifndef MODEL_SITE_H
#define MODEL_SITE_H

#include "choose_load.h"
#include "model_engine.h"
#include "model_event.h"
#include "model_result.h"
#include "model_scenario.h"
#include <gsl/gsl_rng.h>
#include <urcu/list.h>

/** Classes issue, query, report and wording, in order of their names as config_parse sorts them. */
#define CLASSES_COUNT 4
/** The classes, and requests that name a model. */
#define REQUEST_KINDS (CLASSES_COUNT + 1)

#define TRIED_MAX 32 /**< tried servers that are remembered in a stage */

typedef struct
{
  unsigned index; /**< in ModelSite.requests */
  unsigned gate;
  unsigned team;
  unsigned caller;
  int class_index; /**< -1: names a model */
  unsigned prompt_tokens, prefix_tokens, output_tokens;
  uint64_t prefix;
  uint64_t quality_seed; /**< random number that determines the quality of its answers */
  bool crashes;
  int64_t submitted_us; /**< when it was sent for the first time */
  int64_t deadline_us;
  unsigned caller_retries; /**< times sent again after a refusal */
  uint64_t fingerprint;    /**< by which the quarantine recognizes it */
  bool submitted;          /**< counted in the result */
  unsigned resends;        /**< times that its caller will still resend it, if it crashes engines */
  bool ended;              /**< answered, or refused for the last time */
  bool admitted;
  bool beyond_fair_share; /**< admitted beyond the team's fair share */
  int64_t tokens;         /**< expected tokens, by which it was admitted */

  ChoosePlan plan;
  unsigned stage;
  unsigned attempt; /**< counted over all stages */
  unsigned stage_attempts;
  unsigned tried[TRIED_MAX]; /**< servers tried in this stage */
  unsigned tried_count;
  int engine;                       /**< of the attempt in progress, or -1 */
  bool started;                     /**< the attempt runs in the engine's batch */
  int64_t sent_us;                  /**< when the attempt was sent */
  int64_t first_us;                 /**< when the attempt's first token reaches the gate */
  double score;                     /**< true rating of the stage's answer */
  struct cds_list_head engine_node; /**< in ModelSite.engine_requests */
} ModelRequest;

/** The oracle's plan for a class: a mixture of two plans. */
typedef struct
{
  ChoosePlan above; /**< meets the target */
  ChoosePlan below; /**< misses the target by a little */
  double share;     /**< of requests that get below */
} OraclePlan;

typedef struct
{
  bool up;
  unsigned domain;
  char domain_name[16];
  ServerIndex *index;
  ServerView *views;
  LoadHistory *histories;
  Estimates *estimates;
  RetryBudget *budget;
  Limiter *limiter;
  Quarantine *quarantine;
  double old_count, old_mean, old_variance; /**< of the old version's milliseconds per token */
  RolloutEvidence *candidate; /**< by team and kind of request, since the last EVENT_CONTROL */
  RolloutEvidence *control;   /**< the same of the old version */
} ModelGate;

typedef struct
{
  const ModelScenario *scenario;
  const ModelPolicy *policy;
  Config *config;
  gsl_rng *callers_rng; /**< random numbers of the callers, the same for every policy */
  gsl_rng *policy_rng;  /**< random numbers of the policies and of all else */
  EventQueue events;
  int64_t now_us;
  double rate;                 /**< requests per second */
  double *team_rates;          /**< share of rate of each team */
  double quality[MODEL_KINDS]; /**< factor of the pass chances, by kind */
  int64_t lag_ms;              /**< age of load reports when they are read */
  bool *braked;                /**< by version */
  RolloutTest *test;           /**< NULL: no roll-out is configured */
  int64_t rollout_ms;          /**< when the roll-out started; 0: not yet */
  int64_t verdict_ms;          /**< when the verdict is in force at all gates */
  RolloutVerdict verdict;
  unsigned bad_team; /**< for which the candidate is worse, by bad_team_quality */
  double bad_team_quality;
  double candidate_time_factor; /**< of the candidate's answers */
  bool rating_available;
  unsigned next_gate; /**< counter by which callers are spread over the gates */
  ModelGate *gates;
  ModelEngine *engines;
  struct cds_list_head *engine_requests; /**< list of the requests in progress at each engine */
  unsigned engine_count;
  ModelRequest **requests;
  size_t request_count, request_cap;
  uint8_t *excluded;                         /**< by engine: tried already in the present stage */
  OraclePlan oracle_plans[CLASSES_COUNT][2]; /**< by class, and by rating_available */
  bool oracle_known[CLASSES_COUNT][2];
  unsigned char *exposed; /**< by team and caller: bits defined in model_rollout.c */
  ModelResult result;
} ModelSite;

/** Runs a scenario; the same seed gives the same result, to be freed by result_free. */
ModelResult model_run (const ModelScenario *scenario, const ModelPolicy *policy, uint64_t seed);

/* Interfaces between the parts of the simulation. */

int64_t site_ms (const ModelSite *site);
uint64_t site_random (ModelSite *site);
/** Schedules an event in_us from now. */
void site_push (ModelSite *site, int64_t in_us, EventKind kind, unsigned subject);

/** Creates a new request of a random caller, and schedules the next arrival. */
void callers_arrival (ModelSite *site);
void callers_crash_request (ModelSite *site);

/** Handlers of a request's events. */
void request_submit (ModelSite *site, unsigned index);
void request_rated (ModelSite *site, const Event *event);
/** The attempt in progress has its complete answer. */
void request_answered (ModelSite *site, unsigned index);
/** Refuses a request, at once. Given a retry-after time, its caller sends it again then, at most a
 *  few times. */
void request_refuse (ModelSite *site, unsigned index, Reason reason, int64_t retry_after_ms);
/** True if the request was sent after the warm-up. */
bool request_measured (const ModelSite *site, const ModelRequest *request);

/** Starts a request's stage, and handlers of its attempts' events. */
void attempt_start_stage (ModelSite *site, unsigned index);
void attempt_enqueue (ModelSite *site, const Event *event);
void attempt_done (ModelSite *site, const Event *event);
void attempt_failed (ModelSite *site, const Event *event);
void attempt_timeout (ModelSite *site, const Event *event);
/** The engine dies: all attempts in progress at it fail. */
void attempt_engine_died (ModelSite *site, unsigned engine);
/** Ends the attempt in progress on the gate's side. */
void attempt_end (ModelSite *site, ModelRequest *request);
ModelGate *site_gate (ModelSite *site, const ModelRequest *request);

/** Records an engine's death at all gates that had requests in progress at it. */
void crash_record_death (ModelSite *site, unsigned engine);
/** Merges the recent death reports of the other gates into this gate's quarantine. */
void crash_exchange_deaths (ModelSite *site, unsigned gate);

/** Roll-out as a steward drives it. */
void rollout_prepare (ModelSite *site);
void rollout_start (ModelSite *site);
void rollout_control (ModelSite *site);
/** Record evidence at the gate, and which callers got an answer of the candidate. */
void rollout_record_answer (ModelSite *site, const ModelRequest *request, double ms);
void rollout_record_rating (ModelSite *site, const ModelRequest *request, double score);
void rollout_record_delivered (ModelSite *site, const ModelRequest *request);

/** The true rating of a version's answer to a request. */
double quality_score (const ModelSite *site, const ModelRequest *request, unsigned version);
ModelKind quality_kind (const Config *config, unsigned version);
/** The best plan by the true pass chances. */
Reason quality_oracle_plan (ModelSite *site, const ChooseRequest *request, ChoosePlan *plan);
/** The server with the least true load, or -1. */
int quality_oracle_server (const ModelSite *site, const ServerQuery *query);

#endif
