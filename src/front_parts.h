/**
 * Finds the part of prompts that crashes the backend servers which begin to answer it, whatever
 * else a request holds. Requests that share it are no two alike, and sound ones share its other
 * parts.
 *
 * A part is suspected by the servers that ended before any answer to a request with it had begun,
 * each by another request. It is cleared of all deaths before the beginning of any answer to a
 * request with it, at any front. No I/O.
 */
#ifndef FRONT_PARTS_H
#define FRONT_PARTS_H

#include "choose_quarantine.h"
#include "front_call.h"

#define PARTS_DEATHS_MAX  64   /**< deaths kept */
#define PARTS_OF_DEATH    16   /**< parts kept of each; more occur where many requests wait */
#define PARTS_BEGUN_MAX   2048 /**< parts of which the latest beginning is kept; a power of two */
#define PARTS_CLEARED_MAX 16   /**< suspected parts that were cleared lately */
#define PARTS_REPORT_MAX  8    /**< deaths, or cleared parts, in one message */

/** Milliseconds after the last death that counts against a part, and after the first answer that
 *  began here since, before it is judged: if many servers end at one moment, sound parts that many
 *  requests share were at all of them, and the answers that clear them have to begin, here or at
 *  other fronts. */
#define PARTS_JUDGE_AFTER_MS 1000

/** Milliseconds for which an answer speaks for the parts of its request. */
#define PARTS_SOUND_MS 3000

/** A part of prompts: hash of its name with its place in the prompt in the lowest bits. */
typedef uint64_t PartHash;

typedef struct
{
  uint64_t server; /**< 0: unused */
  int64_t at_ms;
  unsigned count;
  int64_t answered_ms; /**< when the first answer after it began here; 0: none has yet */
  PartHash parts[PARTS_OF_DEATH];
} PartsDeath;

typedef struct
{
  PartHash part;
  int64_t begun_ms;
} PartBegun;

/** A suspected part of which an answer has begun. */
typedef struct
{
  PartHash part;
  uint32_t age_ms; /**< since that answer began */
} PartCleared;

typedef struct
{
  PartsDeath deaths[PARTS_DEATHS_MAX];
  PartBegun begun[PARTS_BEGUN_MAX];
  PartBegun cleared[PARTS_CLEARED_MAX];
  int64_t judged_ms;
} FrontParts;

/** Parts of the call's prompt that several requests may share: all but the last. Returns their
 *  number, at most max. */
unsigned front_parts_of (const FrontCall *call, PartHash *out, unsigned max);
/** The answer to a request with these parts begins. */
void front_parts_begun (FrontParts *parts, const PartHash *list, unsigned count, int64_t now_ms);
/** Another front saw an answer to a request with the part begin. */
void front_parts_told_cleared (FrontParts *parts, const PartCleared *cleared, int64_t now_ms);
/** True if an answer to a request with the part has begun since, so that it doesn't crash servers:
 *  it is then among the cleared ones as well. */
bool front_parts_is_sound (FrontParts *parts, PartHash part, int64_t since_ms);
/** Adds a death with the parts of requests whose answers had not begun, observed here or reported
 *  by another front. refused holds the parts that are known to crash servers: a death under one of
 *  them speaks against no other. True if it added anything. */
bool front_parts_add (FrontParts *parts,
                      const QuarantineDeath *death,
                      Quarantine *refused,
                      int64_t now_ms);
/** The part that crashes servers, by what is known now; 0: there is none. All deaths under it, and
 *  under refused ones, are forgotten. */
PartHash front_parts_judge (FrontParts *parts, Quarantine *refused, int64_t now_ms);
/** Servers that ended under the part. */
unsigned front_parts_deaths (const FrontParts *parts, PartHash part);
/** Copies recent deaths with the parts that are suspected; returns their number, at most
 *  PARTS_REPORT_MAX. If there are more, each turn begins at another one. */
unsigned
front_parts_report (const FrontParts *parts, QuarantineDeath *out, unsigned turn, int64_t now_ms);
/** Copies parts that were cleared lately; returns their number, at most PARTS_REPORT_MAX. */
unsigned
front_parts_cleared (const FrontParts *parts, PartCleared *out, unsigned turn, int64_t now_ms);

#endif
