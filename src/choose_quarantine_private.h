/**
 * Declarations shared by choose_quarantine*.c. The caller of each function holds the lock.
 */
#ifndef CHOOSE_QUARANTINE_PRIVATE_H
#define CHOOSE_QUARANTINE_PRIVATE_H

#include "choose_quarantine.h"
#include <assert.h>
#include <pthread.h>
#include <stdatomic.h>

typedef struct
{
  uint64_t server; /**< 0: free */
  int64_t at_ms;
  uint32_t count;
  uint64_t flights[QUARANTINE_FLIGHT_MAX];
} Death;

typedef struct
{
  uint64_t fingerprint; /**< 0: free */
  int64_t until_ms;
  int64_t since_ms;
  bool is_final;     /**< not released by other deaths any more */
  bool is_suspended; /**< refused for a short time, and by this VM alone */
} QuarantineEntry;

typedef struct
{
  uint64_t fingerprint;
  int64_t at_ms;
} CompleteAnswer;

#define ANSWERS_MAX 512 /* answers kept; a power of two */

struct Quarantine
{
  QuarantineSettings settings;
  atomic_uint held_count; /**< if 0, quarantine_contains takes no lock */
  pthread_mutex_t lock;
  Death deaths[QUARANTINE_DEATHS_MAX];
  QuarantineEntry held[QUARANTINE_HELD_MAX];
  CompleteAnswer answers[ANSWERS_MAX]; /**< places by fingerprint */
  size_t released_count;
  uint64_t released[QUARANTINE_RELEASED_MAX];
};

/** Set of deaths: bits by their places in Quarantine.deaths. */
typedef uint64_t DeathSet;

#define DEATH_BIT(place) (UINT64_C (1) << (place))

static_assert (QUARANTINE_DEATHS_MAX <= 64, "a DeathSet has a bit for each death");

typedef struct
{
  uint64_t fingerprint;
  DeathSet deaths; /**< that include it */
  bool is_cause;   /**< whatever else died around them */
  bool is_sound;   /**< a request with it was answered completely, shortly before the latest of
                      these deaths or after it */
} Suspect;

#define SUSPECTS_MAX   ((size_t)QUARANTINE_DEATHS_MAX * QUARANTINE_FLIGHT_MAX)
#define SUSPECT_PLACES (2 * SUSPECTS_MAX) /* half of them stay free */

/** All fingerprints of the known deaths. */
typedef struct
{
  DeathSet explained; /**< deaths whose cause is known */
  size_t count;
  Suspect list[SUSPECTS_MAX];
  uint16_t places[SUSPECT_PLACES]; /**< by fingerprint: number in the list, from 1; 0: free */
} Suspects;

/** No death is explained, and no fingerprint a cause. */
void quarantine_suspects_collect (const Quarantine *quarantine, Suspects *out);
/** The same, with the causes that are at many deaths and the deaths that they explain. */
void quarantine_suspects_judge (const Quarantine *quarantine, Suspects *out, int64_t now_ms);
/** NULL if no death includes the fingerprint. */
const Suspect *quarantine_suspect (const Suspects *suspects, uint64_t fingerprint);
/** Deaths that include the fingerprint. */
DeathSet quarantine_deaths_of (const Suspects *suspects, uint64_t fingerprint);
/** Different servers of these deaths. */
unsigned quarantine_count_servers (const Quarantine *quarantine, DeathSet deaths);
/** Time of the latest of these deaths. */
int64_t quarantine_latest_ms (const Quarantine *quarantine, DeathSet deaths);
/** Unexplained deaths within outage_ms of the latest of these that aren't among them. */
unsigned
quarantine_count_others (const Quarantine *quarantine, const Suspects *suspects, DeathSet deaths);
/** Other fingerprints that were in flight at one of its unexplained deaths, and at as many. */
unsigned quarantine_count_rivals (const Quarantine *quarantine,
                                  const Suspects *suspects,
                                  const Suspect *suspect);
/** Refuses what the deaths show to be the cause, and releases what they speak against. death is the
 *  one that was added last. */
void quarantine_judge (Quarantine *quarantine, const Death *death, int64_t now_ms);

/* NULL if the fingerprint isn't refused. */
const QuarantineEntry *
quarantine_find (const Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms);
bool quarantine_is_held (const Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms);
/* The entry of the fingerprint, or the one that it replaces. */
QuarantineEntry *quarantine_entry (Quarantine *quarantine, uint64_t fingerprint);
/* Time of the latest complete answer to a request with the fingerprint; INT64_MIN: none is known.
 */
int64_t quarantine_answered_ms (const Quarantine *quarantine, uint64_t fingerprint);
/* Refuses the fingerprint from now on. */
void quarantine_request (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms);
/* Refuses the fingerprint until then, unless it is refused already. */
void
quarantine_suspend (Quarantine *quarantine, uint64_t fingerprint, int64_t until_ms, int64_t now_ms);
/* Marks the entries that are no longer released. */
void quarantine_make_final (Quarantine *quarantine, int64_t now_ms);
void quarantine_drop_expired (Quarantine *quarantine, int64_t now_ms);

#endif
