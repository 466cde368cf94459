/**
 * Records which version each session's recent requests ran on, so that a session stays on it
 * during a roll-out. A hash table of fixed size; where all slots of a hash are taken, the oldest
 * entry is replaced.
 */
#ifndef FRONT_SESSIONS_H
#define FRONT_SESSIONS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct FrontSessions FrontSessions;

/** A session ends idle_ms after the end of its last request. */
FrontSessions *front_sessions_new (int64_t idle_ms);
void front_sessions_free (FrontSessions *sessions);
/** Hash of the version on which the session runs; 0 if there is no such session. */
uint64_t front_sessions_version (const FrontSessions *sessions, uint64_t session, int64_t now_ms);
/** A request of the session starts on this version. */
void
front_sessions_begin (FrontSessions *sessions, uint64_t session, uint64_t version, int64_t now_ms);
/** Another front had a request of the session on this version, age_ms ago. */
void front_sessions_learn (FrontSessions *sessions,
                           uint64_t session,
                           uint64_t version,
                           int64_t age_ms,
                           int64_t now_ms);

/** A session on some version, as reported to other fronts. */
typedef struct
{
  uint64_t session;
  uint32_t age_ms; /**< since its last request; 0: one is in progress */
} SessionUpdate;

/** Lists active sessions on the version that the filter accepts, continuing at cursor; returns
 *  their number. */
unsigned front_sessions_list (const FrontSessions *sessions,
                              uint64_t version,
                              bool (*filter) (const void *context, uint64_t session),
                              const void *context,
                              unsigned *cursor,
                              SessionUpdate *out,
                              unsigned max,
                              int64_t now_ms);
/** A request of the session has ended. */
void front_sessions_end (FrontSessions *sessions, uint64_t session, int64_t now_ms);

#endif
