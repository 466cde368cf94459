/**
 * Claims: a request that is not idempotent runs at most once, at whichever VMs the caller's retries
 * of it arrive. Before a gate sends the request to a backend server it takes the claim, a table row
 * with the key of the request. See docs/design/claims.md.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "platform_group.h"
#include "util_buffer.h"
#include "util_id.h"
#include "util_status.h"
#include <stdbool.h>
#include <stdint.h>

#define CLAIM_KEY_MAX 192 /**< bytes of a row key, including the NUL */
/** Bytes of a stored answer. A longer one is not stored: the caller's retry gets "unknown". */
#define CLAIM_ANSWER_MAX 65536

typedef enum
{
  CLAIM_TAKEN,       /**< this attempt has the claim: the request may be sent once */
  CLAIM_ANSWERED,    /**< the request ran before; the stored answer is returned */
  CLAIM_IN_PROGRESS, /**< another attempt has the claim and may have run: do not run */
  CLAIM_MISMATCH,    /**< the key was used for another request body */
  CLAIM_UNAVAILABLE  /**< no claim can be made durable now: do not run */
} ClaimResult;

typedef struct
{
  char key[CLAIM_KEY_MAX]; /**< row key: team and hash of the caller's idempotency key */
  char nonce[ID_SIZE];     /**< of this attempt */
  uint64_t body_hash;
  int64_t at_ms; /**< wall clock */
} Claim;

/** Result of a request that ran, written to its claim together with the usage record. */
typedef struct
{
  const Claim *claim;
  int http_status;
  const char *content_type;
  const char *answer; /**< complete answer as sent to the caller; NULL: not stored */
  size_t answer_len;
} ClaimSettlement;

typedef struct
{
  ClaimResult result;
  Claim claim;
  /** With CLAIM_UNAVAILABLE: the write's reply was lost, so the row may exist although the request
   *  does not run. The caller gets "not run"; the claim has to go to claim_releaser_add, so that
   *  the caller's retry can run. */
  bool outcome_unknown;
  int http_status; /**< with CLAIM_ANSWERED */
  char content_type[64];
  Buffer answer; /**< with CLAIM_ANSWERED; empty if it was too long to store */
} ClaimOutcome;

/** Takes the claim of (team, idempotency_key) for a request body with that hash. The result is in
 *  *out, with a message in *st. */
void claim_take (PlatformGroup *group,
                 Platform *platform,
                 const char *team,
                 const char *idempotency_key,
                 uint64_t body_hash,
                 ClaimOutcome *out,
                 Status *st);

/** Releases a claim after proof that the request did not run, so that the caller's retry may run.
 * On failure the claim stays in progress, which is safe; claim_releaser_add retries the release. */
StatusCode claim_release (Platform *platform, const Claim *claim, Status *st);

/** Row text of a settled claim; freed with free. */
char *claim_settlement_text (const ClaimSettlement *settlement);
void claim_outcome_clear (ClaimOutcome *outcome);

/** Background thread that releases claims of requests that did not run, with retries. */
typedef struct ClaimReleaser ClaimReleaser;

ClaimReleaser *claim_releaser_new (Platform *platform);
/** Queues a claim whose request certainly did not run and never will. If the queue is full the
 *  claim stays in progress, which is safe. */
void claim_releaser_add (ClaimReleaser *releaser, const Claim *claim);
/** Stops the thread and tries the queued claims once more, until one fails; returns the number not
 *  released. */
size_t claim_releaser_free (ClaimReleaser *releaser);

#endif
