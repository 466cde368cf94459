/**
 * Claims: a non-idempotent request runs at most once, at whichever VM its caller's re-sends arrive.
 * See docs/design/claims.md.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include "platform_group.h"
#include "util_buffer.h"
#include "util_id.h"
#include "util_status.h"
#include <stdbool.h>
#include <stdint.h>

#define CLAIM_KEY_MAX    192
#define CLAIM_ANSWER_MAX 65536 /**< longer answers are not stored; a re-send is told "unknown" */

typedef enum
{
  CLAIM_TAKEN,       /**< ours: the request may be sent once */
  CLAIM_ANSWERED,    /**< it ran before; the stored answer is given */
  CLAIM_IN_PROGRESS, /**< started by another attempt: it may have run; never run by us */
  CLAIM_MISMATCH,    /**< the key was used for another request body */
  CLAIM_UNAVAILABLE  /**< no durable claim can be had now: not run */
} ClaimResult;

typedef struct
{
  char key[CLAIM_KEY_MAX]; /**< row key: team and the hash of the caller's key */
  char nonce[ID_SIZE];     /**< of this attempt */
  uint64_t body_hash;
  int64_t at_ms; /**< wall clock */
} Claim;

/** How a claim ended, written together with the usage record. */
typedef struct
{
  const Claim *claim;
  int http_status;
  const char *content_type;
  const char *answer; /**< whole answer as sent to the caller; NULL: not stored */
  size_t answer_len;
} ClaimSettlement;

typedef struct
{
  ClaimResult result;
  Claim claim;
  /** With CLAIM_UNAVAILABLE: the row may exist although the request is not run. The caller is told
   *  "not run"; hand the claim to claim_releaser_add, so that its re-send can run. */
  bool outcome_unknown;
  int http_status; /**< with CLAIM_ANSWERED */
  char content_type[64];
  Buffer answer; /**< with CLAIM_ANSWERED; empty when it was too long to keep */
} ClaimOutcome;

/** Takes the claim of (team, idempotency_key) for a body of that hash; the result is in *out, with
 *  a message in *st. */
void claim_take (PlatformGroup *group,
                 Platform *platform,
                 const char *team,
                 const char *idempotency_key,
                 uint64_t body_hash,
                 ClaimOutcome *out,
                 Status *st);

/** Gives a claim back after proof that the request did not run, so that a re-send may run. On
 *  failure the claim stays in progress, which is safe; claim_releaser_add tries again. */
StatusCode claim_release (Platform *platform, const Claim *claim, Status *st);

/** The row's text of a settlement, freed with free. */
char *claim_settlement_text (const ClaimSettlement *settlement);
void claim_outcome_clear (ClaimOutcome *outcome);

/** Releases claims of requests that did not run, in the background, until the table has it. */
typedef struct ClaimReleaser ClaimReleaser;

ClaimReleaser *claim_releaser_new (Platform *platform);
/** Takes a claim whose request certainly did not run and never will. When its bounded list is full
 *  the claim stays in progress, which is safe. */
void claim_releaser_add (ClaimReleaser *releaser, const Claim *claim);
/** Tries what is left once more, each within its timeout; returns the claims not released. */
size_t claim_releaser_free (ClaimReleaser *releaser);

#endif
