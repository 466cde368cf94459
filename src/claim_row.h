/**
 * A claim's row in the table service: key and JSON value.
 */
#ifndef CLAIM_ROW_H
#define CLAIM_ROW_H

#include "claim.h"

#define CLAIM_TABLE "claim"

typedef enum
{
  CLAIM_STARTED,  /**< the request may have been sent */
  CLAIM_SETTLED,  /**< the request ran */
  CLAIM_RELEASED, /**< the request did not run and never will: the next attempt may take over */
} ClaimState;

typedef struct
{
  ClaimState state;
  char nonce[ID_SIZE];
  uint64_t body_hash;
  int http_status; /**< this field and the next two with CLAIM_SETTLED only */
  char content_type[64];
  Buffer answer;
} ClaimRow;

/** Row key for the caller's idempotency key, of which only the hash is stored. */
void claim_row_key (const char *team, const char *idempotency_key, char out[CLAIM_KEY_MAX]);
/** Text of a row in state CLAIM_STARTED or CLAIM_RELEASED; freed with free. */
char *claim_row_text (const Claim *claim, ClaimState state);
/** False if the text is not a valid row. *out has to be cleared in any case. */
bool claim_row_parse (const char *text, ClaimRow *out);
void claim_row_clear (ClaimRow *row);

#endif
