/**
 * Routing decisions for one request: which versions may answer it, in which order they are tried,
 * and which backend server gets each attempt. The modules choose_* do no I/O: the clock, the random
 * source and all other inputs are arguments.
 */
#ifndef CHOOSE_H
#define CHOOSE_H

#include "config.h"
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  REASON_NONE = 0, /**< the request has a plan */
  REASON_UNKNOWN_MODEL,
  REASON_UNKNOWN_VERSION,
  REASON_NOT_ALLOWED,       /**< the team is not allowed to use the requested model or version */
  REASON_VERSION_WITHDRAWN, /**< also if a session's version was withdrawn */
  REASON_VERSION_BRAKED,
  REASON_NO_ALLOWED_VERSION, /**< team, version states, roll-outs and brakes leave none */
  REASON_NO_SERVER,          /**< no usable backend server serves the version */
  REASON_TARGET_UNREACHABLE, /**< no allowed plan meets the quality target */
  REASON_DEADLINE_PAST,
  REASON_TEAM_LIMIT,
  REASON_OVERLOAD,
  REASON_QUARANTINED, /**< an identical request crashed backend servers before */
  REASON_NO_GRANT,    /**< this VM can't prove that its configuration is up to date */
  REASON_STOPPING,
  REASON_SPOOL_FULL, /**< the spool has no room for further usage records */
  REASON_CLAIM_UNAVAILABLE,
  REASON_COUNT
} Reason;

/** Name used on the wire, e.g. "version_withdrawn"; "unknown" for a value out of range. */
const char *reason_name (Reason reason);

#define CHOOSE_STAGES_MAX 8   /**< stages of a plan */
#define CHOOSE_NAME_MAX   128 /**< bytes of the longest model name, with the final NUL */

/** Whether a request may be run more than once. */
typedef enum
{
  IDEMPOTENCY_DEFAULT = 0, /**< as the class says; yes if the request names a model */
  IDEMPOTENCY_YES,
  IDEMPOTENCY_NO /**< at most once: the plan has a single stage */
} Idempotency;

typedef struct
{
  const Config *config;
  unsigned team;               /**< index into Config.teams */
  const char *model;           /**< from the caller: MODEL, MODEL@VERSION or CLASS */
  const char *session_version; /**< "MODEL@VERSION" the session is bound to, or NULL */
  uint64_t caller;             /**< stable hash of the caller's identity, for choose_bucket */
  const bool *braked; /**< whether each version is braked, by version index; NULL: none is */
  int64_t now_ms;
  int64_t deadline_ms;     /**< boot-time clock, as now_ms; 0: none */
  Idempotency idempotency; /**< from the caller's header */
} ChooseRequest;

/** How a plan's stages were chosen. */
typedef enum
{
  PLAN_CONFIGURED = 0, /**< in the order in which the class lists them */
  PLAN_LEARNED,   /**< lowest expected cost that meets the quality target, estimated from ratings */
  PLAN_EXPLORING, /**< a version with few ratings is tried first; its answer is rated */
  PLAN_UNRATED    /**< rating service unavailable: cheapest version last known to meet the target */
} PlanBasis;

/** Lower-case name, e.g. "learned"; "unknown" for a value out of range. */
const char *plan_basis_name (PlanBasis basis);

typedef struct
{
  unsigned versions[CHOOSE_STAGES_MAX]; /**< version indices, in the order of the attempts */
  size_t count;
  bool rated; /**< the answer of each stage but the last is rated before it is forwarded */
  double quality_target; /**< 0 when the caller named a model */
  bool idempotent;
  int class_index; /**< -1 when the caller named a model */
  PlanBasis basis;
  bool below_target; /**< no plan meets the target with the required confidence; this one comes
                        closest */
  bool late;         /**< no plan that meets the target is expected to finish by the deadline */
} ChoosePlan;

/** Plans the request with the versions that may answer it, in the configured order
 *  (choose_cascade.h has the learned order). A request that may run at most once gets a single
 *  stage: the cheapest one whose prior quality meets the target, else the last. */
Reason choose_plan (const ChooseRequest *request, ChoosePlan *plan);

/** Like choose_plan, but keeps all stages also for a request that may run at most once: the
 *  versions among which choose_cascade.c chooses. */
Reason choose_candidates (const ChooseRequest *request, ChoosePlan *plan);

/** True if new requests may go to this version now: it is not withdrawn, not braked, and not a
 *  candidate whose latest roll-out was backed out. */
bool choose_version_usable (const Config *config, const bool *braked, unsigned version);

/** The caller's position in [0, 1) among the model's callers. A roll-out stage of share S includes
 *  the callers below S, so raising the share only adds callers and never moves one back. */
double choose_bucket (const ConfigModel *model, uint64_t caller);

#endif
