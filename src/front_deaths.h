/**
 * Detects deaths of backend servers and records the requests that they were running: a request that
 * was present at every death is the likely cause.
 */
#ifndef FRONT_DEATHS_H
#define FRONT_DEATHS_H

#include "front.h"

extern const QuarantineSettings front_quarantine_settings;

/** Adds a server's death with the requests of this front that it was running. */
void front_deaths_seen (Front *front, const QuarantineDeath *death, int64_t now_ms);
/** Adds what another front knows of a server's death. */
void front_deaths_told (Front *front, const QuarantineDeath *death, int64_t now_ms);
/** Refuses a request as another front does. */
void front_deaths_refusal_told (Front *front, const QuarantineRefusal *refusal, int64_t now_ms);
/** Adds a death that another front told of, with parts of prompts that are suspected of it. */
void front_deaths_parts_told (Front *front, const QuarantineDeath *death, int64_t now_ms);
/** Answers to requests with these parts begin, which clears the parts of earlier deaths and ends a
 *  wrong refusal. */
void front_deaths_parts_begun (Front *front, const PartHash *parts, unsigned count, int64_t now_ms);
/** The same for a part, by another front. */
void front_deaths_part_cleared (Front *front, const PartCleared *cleared, int64_t now_ms);
/** Refuses the part of prompts that crashes servers, once it is known. */
void front_deaths_tick (Front *front, int64_t now_ms);

/** A request that a server was running. */
typedef struct
{
  uint64_t fingerprint;
  const PartHash *parts; /**< of its prompt, if its answer had not begun */
  unsigned part_count;
} DeathFlight;

/** Checks a server that has cut the connection on which it was running this request. */
void front_deaths_check (Front *front, FrontServer *server, const DeathFlight *flight);

#endif
