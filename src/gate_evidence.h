/**
 * Answers, errors, slow first tokens and ratings of each version since the last report to the
 * steward, by team and version. The steward merges them over all gates.
 */
#ifndef GATE_EVIDENCE_H
#define GATE_EVIDENCE_H

#include "config.h"
#include "lovage.h"
#include <stdbool.h>
#include <stdint.h>

#define EVIDENCE_SLOW_MS 1000 /**< a first token that takes longer counts as slow */

typedef struct
{
  char team[CONFIG_NAME_MAX + 1];
  char model[CONFIG_NAME_MAX + 1];
  char version[CONFIG_NAME_MAX + 1];
} EvidenceKey;

typedef struct GateEvidence GateEvidence;

EvidenceKey gate_evidence_key (const Config *config, unsigned team, unsigned version);

GateEvidence *gate_evidence_new (void);
void gate_evidence_free (GateEvidence *evidence);
/** Counts a complete answer; slow: its first token took longer than EVIDENCE_SLOW_MS. caller is a
 * hash of the caller's identity, by which distinct callers are counted. */
void gate_evidence_add_answer (GateEvidence *evidence,
                               const EvidenceKey *key,
                               uint64_t caller,
                               bool slow);
void gate_evidence_add_error (GateEvidence *evidence, const EvidenceKey *key, uint64_t caller);
void gate_evidence_add_rating (GateEvidence *evidence, const EvidenceKey *key, double score);
/** Moves up to max entries to out and returns how many. Their strings belong to evidence and stay
 * valid until the next call of this function or of gate_evidence_put_back. For one thread only. */
size_t gate_evidence_take (GateEvidence *evidence, rpc_evidence *out, size_t max);
/** Adds back entries that did not reach the steward. */
void gate_evidence_put_back (GateEvidence *evidence, const rpc_evidence *entries, size_t count);

#endif
