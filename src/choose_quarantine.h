/**
 * Quarantine of requests that crash the backend servers which run them: they are identified by the
 * fingerprints that were in flight when servers died, and then refused at all VMs.
 */
#ifndef CHOOSE_QUARANTINE_H
#define CHOOSE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define QUARANTINE_FLIGHT_MAX   32  /**< fingerprints kept per death */
#define QUARANTINE_DEATHS_MAX   64  /**< deaths kept; the oldest is dropped first */
#define QUARANTINE_HELD_MAX     256 /**< fingerprints refused at a time */
#define QUARANTINE_RELEASED_MAX 16  /**< released fingerprints kept until they are taken */

typedef struct
{
  unsigned servers; /**< different servers that must have died while running a fingerprint */
  unsigned repeated_deaths; /**< that are enough whatever else died around them; 0: none are */
  int64_t retention_ms;     /**< how long deaths are kept */
  int64_t outage_ms; /**< deaths this close together may have a common cause other than a request */
  int64_t same_death_ms;   /**< reports of one server's death this close together are the same */
  int64_t suspect_hold_ms; /**< after its latest death, for which a fingerprint is refused that is
                              at enough deaths, but at too few of those around; 0: it isn't */
  int64_t hold_ms;         /**< how long a fingerprint stays refused */
  int64_t final_after_ms;  /**< after being refused for so long, a fingerprint is no longer released
                         by deaths that don't include it; INT64_MAX: it always is */
} QuarantineSettings;

extern const QuarantineSettings quarantine_settings_default;

/** A server's death as observed by one VM; VMs send each other these. */
typedef struct
{
  uint64_t server; /**< hash of the server's name */
  uint32_t age_ms; /**< time since it died */
  uint32_t count;
  uint64_t flights[QUARANTINE_FLIGHT_MAX]; /**< fingerprints of the requests in flight there */
} QuarantineDeath;

/** A fingerprint that another VM refuses for good, whatever deaths are known here. */
typedef struct
{
  uint64_t fingerprint;
  uint32_t left_ms; /**< for how much longer */
} QuarantineRefusal;

/** Limits of what one message reports of recent deaths. */
typedef struct
{
  unsigned deaths;
  unsigned flights; /**< fingerprints of all these deaths together */
  int64_t age_ms;   /**< of the oldest death that is reported */
} QuarantineReportLimit;

/** What the known deaths say of a fingerprint. */
typedef struct
{
  unsigned servers; /**< different servers that died while running it */
  unsigned others;  /**< deaths around the latest of these that don't include it */
  unsigned rivals;  /**< other fingerprints at one of these deaths, and at as many */
  bool is_held;     /**< requests with it are to be refused */
} QuarantineEvidence;

typedef struct Quarantine Quarantine;

/** Thread-safe. */
Quarantine *quarantine_new (const QuarantineSettings *settings);
void quarantine_free (Quarantine *quarantine);

/** Fingerprint of a request: the same for the same team and body on every VM; never 0. */
uint64_t quarantine_fingerprint (const char *team, const void *body, size_t len);
/** True if requests with this fingerprint are to be refused. */
bool quarantine_contains (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms);
/** Adds the death of a server (its connections were cut together, without draining), observed by
 *  this VM or reported by another one. True if it added any fingerprint; adding the same death
 *  again changes nothing. */
bool quarantine_add (Quarantine *quarantine, const QuarantineDeath *death, int64_t now_ms);
/** Fills in the evidence against each fingerprint of the death. */
void quarantine_evidence (Quarantine *quarantine,
                          const QuarantineDeath *death,
                          QuarantineEvidence *out,
                          int64_t now_ms);
/** Refuses a fingerprint that another VM does. */
void
quarantine_add_refusal (Quarantine *quarantine, const QuarantineRefusal *refusal, int64_t now_ms);
/** Milliseconds for which the fingerprint is still refused; 0: it isn't. */
int64_t quarantine_left_ms (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms);
/** A request with the fingerprint was answered completely. It is not suspected for its number of
 *  deaths alone, of about that time. */
void quarantine_note_answer (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms);
/** Copies up to max fingerprints that deaths have released since the last call; returns their
 *  number. Of more than QUARANTINE_RELEASED_MAX only the first are kept. */
size_t quarantine_take_released (Quarantine *quarantine, uint64_t *out, size_t max);
/** Ends the refusal of a fingerprint. */
void quarantine_release (Quarantine *quarantine, uint64_t fingerprint, int64_t now_ms);
/** Copies up to max fingerprints that are refused and no longer released; returns their number. If
 *  there are more, each turn begins at another one. */
size_t quarantine_refusals (Quarantine *quarantine,
                            QuarantineRefusal *out,
                            size_t max,
                            unsigned turn,
                            int64_t now_ms);
/** Copies recent deaths to report to other VMs; returns their number. Deaths whose fingerprints
 *  were at the most deaths come first, and of each death these fingerprints. What exceeds the
 *  limit comes in other turns. */
size_t quarantine_report (Quarantine *quarantine,
                          QuarantineDeath *out,
                          const QuarantineReportLimit *limit,
                          unsigned turn,
                          int64_t now_ms);
/** Copies up to max deaths to report to other VMs, newest first; returns their number. */
size_t
quarantine_recent_deaths (Quarantine *quarantine, QuarantineDeath *out, size_t max, int64_t now_ms);

#endif
