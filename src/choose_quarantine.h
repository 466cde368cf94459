/**
 * Requests that crash the backend servers which run them: found by the fingerprints that were in
 * flight when servers died, and refused from then on at any VM.
 */
#ifndef CHOOSE_QUARANTINE_H
#define CHOOSE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define QUARANTINE_FLIGHT_MAX 32 /**< fingerprints noted of one death */
#define QUARANTINE_DEATHS_MAX 64 /**< deaths remembered; the oldest goes first */
#define QUARANTINE_HELD_MAX   256

typedef struct
{
  unsigned servers;      /**< that must have died under a fingerprint */
  int64_t retention_ms;  /**< of deaths */
  int64_t outage_ms;     /**< deaths this close together may have one cause that is no request's */
  int64_t same_death_ms; /**< reports of one server's death this close together are of one death */
  int64_t hold_ms;       /**< how long a fingerprint is refused */
} QuarantineSettings;

extern const QuarantineSettings quarantine_settings_default;

/** One death as one VM saw it; also what VMs tell each other. */
typedef struct
{
  uint64_t server; /**< hash of its name */
  uint32_t age_ms; /**< since it died */
  uint32_t count;
  uint64_t flights[QUARANTINE_FLIGHT_MAX]; /**< fingerprints of requests that it was running */
} QuarantineDeath;

typedef struct Quarantine Quarantine;

/** Thread-safe. */
Quarantine *quarantine_new (const QuarantineSettings *settings);
void quarantine_free (Quarantine *quarantine);

/** The same for the same team and body on every VM; never 0. */
uint64_t quarantine_fingerprint (const char *team, const void *body, size_t len);
/** True if the request is to be refused. */
bool quarantine_contains (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms);
/** True if it was news. A server died (its connections were cut together, not drained): by this
 * VM's own requests, or as another VM says. The same news twice changes nothing. */
bool quarantine_add (Quarantine *quarantine, const QuarantineDeath *death, int64_t now_ms);
/** Deaths to tell other VMs, newest first; returns their number. */
size_t
quarantine_recent_deaths (Quarantine *quarantine, QuarantineDeath *out, size_t max, int64_t now_ms);

#endif
