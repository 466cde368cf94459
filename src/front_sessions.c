#include "front_sessions.h"
#include "util_memory.h"
#include <stdlib.h>

#define SLOTS      4096 /* power of two; a few hundred sessions are open at a front at a time */
#define PROBES_MAX 8    /* slots in which a session may be */
/* Milliseconds after which a request whose end was never recorded (only a fault in this process
 * could miss it) no longer keeps its session; above any route's time-out. */
#define OPEN_MAX_MS 60000

typedef struct
{
  uint64_t session; /**< 0: free */
  uint64_t version;
  int64_t used_ms;
  uint32_t open; /**< requests in progress */
} Session;

struct FrontSessions
{
  int64_t idle_ms;
  Session slots[SLOTS];
};

FrontSessions *
front_sessions_new (int64_t idle_ms)
{
  FrontSessions *sessions = memory_alloc (sizeof *sessions);

  sessions->idle_ms = idle_ms;
  return sessions;
}

void
front_sessions_free (FrontSessions *sessions)
{
  free (sessions);
}

static bool
is_active (const FrontSessions *sessions, const Session *slot, int64_t now_ms)
{
  int64_t bound = slot->open ? OPEN_MAX_MS : sessions->idle_ms;

  return slot->session != 0 && now_ms - slot->used_ms <= bound;
}

static unsigned
slot_at (uint64_t session, unsigned step)
{
  return (unsigned)(session + step) & (SLOTS - 1);
}

static Session *
find (FrontSessions *sessions, uint64_t session)
{
  for (unsigned i = 0; i < PROBES_MAX; i++)
    {
      Session *slot = &sessions->slots[slot_at (session, i)];

      if (slot->session == session)
        return slot;
    }
  return NULL;
}

static Session *
find_or_insert (FrontSessions *sessions, uint64_t session)
{
  Session *slot = find (sessions, session);
  Session *oldest = &sessions->slots[slot_at (session, 0)];

  if (slot)
    return slot;
  for (unsigned i = 1; i < PROBES_MAX; i++)
    {
      slot = &sessions->slots[slot_at (session, i)];
      if (slot->used_ms < oldest->used_ms)
        oldest = slot;
    }
  *oldest = (Session){ .session = session };
  return oldest;
}

uint64_t
front_sessions_version (const FrontSessions *sessions, uint64_t session, int64_t now_ms)
{
  const Session *slot = find ((FrontSessions *)sessions, session);

  return slot && is_active (sessions, slot, now_ms) ? slot->version : 0;
}

void
front_sessions_begin (FrontSessions *sessions, uint64_t session, uint64_t version, int64_t now_ms)
{
  Session *slot = find_or_insert (sessions, session);

  slot->version = version;
  slot->used_ms = now_ms;
  slot->open++;
}

void
front_sessions_end (FrontSessions *sessions, uint64_t session, int64_t now_ms)
{
  Session *slot = find (sessions, session);

  if (!slot)
    return;
  slot->used_ms = now_ms;
  if (slot->open > 0)
    slot->open--;
}

/* An active session known here takes precedence over updates, which may be older. An update with
 * the same version moves the last use only to a later time: a session that is reported while its
 * request runs would otherwise expire one idle time after that report, although the request ends
 * seconds later, and its next request would move to the new version. */
void
front_sessions_learn (FrontSessions *sessions,
                      uint64_t session,
                      uint64_t version,
                      int64_t age_ms,
                      int64_t now_ms)
{
  uint64_t known = front_sessions_version (sessions, session, now_ms);
  Session *slot;

  if ((known != 0 && known != version) || age_ms > sessions->idle_ms)
    return;
  slot = find_or_insert (sessions, session);
  if (known != 0 && slot->used_ms > now_ms - age_ms)
    return;
  slot->version = version;
  slot->used_ms = now_ms - age_ms;
}

unsigned
front_sessions_list (const FrontSessions *sessions,
                     uint64_t version,
                     bool (*filter) (const void *context, uint64_t session),
                     const void *context,
                     unsigned *cursor,
                     SessionUpdate *out,
                     unsigned max,
                     int64_t now_ms)
{
  unsigned count = 0, steps = 0;

  for (; steps < SLOTS && count < max; steps++)
    {
      const Session *slot = &sessions->slots[(*cursor + steps) & (SLOTS - 1)];

      if (slot->session == 0 || slot->version != version || !is_active (sessions, slot, now_ms)
          || !filter (context, slot->session))
        continue;
      out[count].session = slot->session;
      out[count].age_ms = slot->open ? 0 : (uint32_t)(now_ms - slot->used_ms);
      count++;
    }
  *cursor += steps;
  return count;
}
