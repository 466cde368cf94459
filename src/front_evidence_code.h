/**
 * Encoding of evidence in messages between fronts: most counts are small or 0, and a packet has to
 * hold those of several failure domains.
 */
#ifndef FRONT_EVIDENCE_CODE_H
#define FRONT_EVIDENCE_CODE_H

#include "front_evidence.h"
#include <stddef.h>

/** Bytes of the largest encoding: two masks; for each count a mask and 14 numbers of up to five
 *  bytes, and for each route two more. */
#define EVIDENCE_CODE_MAX                                                                          \
  (2 + (EVIDENCE_SIDES * EVIDENCE_ROUTES + EVIDENCE_GROUPS) * 72 + EVIDENCE_ROUTES * 10)

/** Returns the bytes written to out. */
size_t front_evidence_encode (const FrontEvidence *evidence, unsigned char out[EVIDENCE_CODE_MAX]);
/** False if the data is no such encoding. */
bool front_evidence_decode (FrontEvidence *evidence, const unsigned char *data, size_t len);

#endif
