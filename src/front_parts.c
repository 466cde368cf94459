#include "front_parts.h"
#include "util_id.h"
#include <string.h>

#define PLACE_BITS 3
#define PLACE_MASK ((1u << PLACE_BITS) - 1)
/* Different servers that must have ended, each under another request with the part. */
#define SERVERS_MIN   3
#define RETENTION_MS  30000 /* of deaths */
#define REPORT_MS     3000  /* for which deaths are reported */
#define SAME_DEATH_MS 3000  /* reports of one server's death this close together are the same */

unsigned
front_parts_of (const FrontCall *call, PartHash *out, unsigned max)
{
  unsigned count = 0;

  for (unsigned i = 0; i + 1 < call->part_count && count < max; i++)
    {
      uint64_t place = i < PLACE_MASK ? i : PLACE_MASK;

      out[count++]
          = (id_hash (&call->parts[i].id, sizeof call->parts[i].id, 1) & ~(uint64_t)PLACE_MASK)
            | place;
    }
  return count;
}

static unsigned
place_of (PartHash part)
{
  return part & PLACE_MASK;
}

static PartBegun *
begun_entry (FrontParts *parts, PartHash part)
{
  return &parts->begun[(part >> PLACE_BITS) % PARTS_BEGUN_MAX];
}

static bool
has_begun_since (const FrontParts *parts, PartHash part, int64_t at_ms)
{
  const PartBegun *entry = &parts->begun[(part >> PLACE_BITS) % PARTS_BEGUN_MAX];

  return entry->part == part && entry->begun_ms >= at_ms;
}

static bool
includes (const PartsDeath *death, PartHash part)
{
  for (unsigned i = 0; i < death->count; i++)
    {
      if (death->parts[i] == part)
        return true;
    }
  return false;
}

static void
add_cleared (FrontParts *parts, PartHash part, int64_t begun_ms)
{
  PartBegun *entry = &parts->cleared[0];

  for (unsigned i = 0; i < PARTS_CLEARED_MAX; i++)
    {
      if (parts->cleared[i].part == part)
        {
          entry = &parts->cleared[i];
          break;
        }
      if (parts->cleared[i].begun_ms < entry->begun_ms)
        entry = &parts->cleared[i];
    }
  *entry = (PartBegun){ .part = part, .begun_ms = begun_ms };
}

bool
front_parts_is_sound (FrontParts *parts, PartHash part, int64_t since_ms)
{
  if (!has_begun_since (parts, part, since_ms))
    return false;
  add_cleared (parts, part, begun_entry (parts, part)->begun_ms);
  return true;
}

/* Takes the part from the deaths before an answer to it began. */
static bool
clear (FrontParts *parts, PartHash part, int64_t begun_ms)
{
  bool was_suspected = false;

  for (unsigned i = 0; i < PARTS_DEATHS_MAX; i++)
    {
      PartsDeath *death = &parts->deaths[i];

      if (death->server == 0 || death->at_ms > begun_ms)
        continue;
      for (unsigned j = 0; j < death->count; j++)
        {
          if (death->parts[j] != part)
            continue;
          death->parts[j] = death->parts[--death->count];
          was_suspected = true;
          break;
        }
    }
  return was_suspected;
}

static void
record_begun (FrontParts *parts, PartHash part, int64_t begun_ms)
{
  PartBegun *entry = begun_entry (parts, part);

  if (entry->part != part || entry->begun_ms < begun_ms)
    *entry = (PartBegun){ .part = part, .begun_ms = begun_ms };
  if (clear (parts, part, begun_ms))
    add_cleared (parts, part, begun_ms);
}

void
front_parts_begun (FrontParts *parts, const PartHash *list, unsigned count, int64_t now_ms)
{
  for (unsigned i = 0; i < PARTS_DEATHS_MAX; i++)
    {
      if (parts->deaths[i].answered_ms == 0)
        parts->deaths[i].answered_ms = now_ms;
    }
  for (unsigned i = 0; i < count; i++)
    record_begun (parts, list[i], now_ms);
}

void
front_parts_told_cleared (FrontParts *parts, const PartCleared *cleared, int64_t now_ms)
{
  record_begun (parts, cleared->part, now_ms - cleared->age_ms);
}

static PartsDeath *
death_entry (FrontParts *parts, uint64_t server, int64_t at_ms)
{
  PartsDeath *found = &parts->deaths[0];

  for (unsigned i = 0; i < PARTS_DEATHS_MAX; i++)
    {
      PartsDeath *death = &parts->deaths[i];
      int64_t apart_ms = death->at_ms > at_ms ? death->at_ms - at_ms : at_ms - death->at_ms;

      if (death->server == server && apart_ms <= SAME_DEATH_MS)
        return death;
      if (found->server != 0 && (death->server == 0 || death->at_ms < found->at_ms))
        found = death;
    }
  *found = (PartsDeath){ .server = server, .at_ms = at_ms };
  return found;
}

static bool
has_refused (const QuarantineDeath *death, Quarantine *refused, int64_t now_ms)
{
  for (uint32_t i = 0; i < death->count; i++)
    {
      if (quarantine_contains (refused, death->flights[i], now_ms))
        return true;
    }
  return false;
}

bool
front_parts_add (FrontParts *parts,
                 const QuarantineDeath *death,
                 Quarantine *refused,
                 int64_t now_ms)
{
  int64_t at_ms = now_ms - death->age_ms;
  bool changed = false;
  PartsDeath *entry;

  if (death->server == 0 || death->count == 0 || death->age_ms > RETENTION_MS
      || has_refused (death, refused, now_ms))
    return false;
  entry = death_entry (parts, death->server, at_ms);
  for (uint32_t i = 0; i < death->count && entry->count < PARTS_OF_DEATH; i++)
    {
      /* Whoever reports the death doesn't know of the answer. */
      if (includes (entry, death->flights[i])
          || front_parts_is_sound (parts, death->flights[i], at_ms))
        continue;
      entry->parts[entry->count++] = death->flights[i];
      changed = true;
    }
  return changed;
}

static bool
is_same_server_before (const FrontParts *parts, unsigned number, PartHash part)
{
  for (unsigned i = 0; i < number; i++)
    {
      if (parts->deaths[i].server == parts->deaths[number].server
          && includes (&parts->deaths[i], part))
        return true;
    }
  return false;
}

unsigned
front_parts_deaths (const FrontParts *parts, PartHash part)
{
  unsigned count = 0;

  for (unsigned i = 0; i < PARTS_DEATHS_MAX; i++)
    count += parts->deaths[i].server != 0 && includes (&parts->deaths[i], part)
             && !is_same_server_before (parts, i, part);
  return count;
}

/* True if a later part of the same prompts is suspected as well: the earlier ones are shared by
 * more requests, so that refusing them would do more harm. */
static bool
has_deeper_suspect (const FrontParts *parts, PartHash part)
{
  for (unsigned i = 0; i < PARTS_DEATHS_MAX; i++)
    {
      const PartsDeath *death = &parts->deaths[i];

      if (death->server == 0 || !includes (death, part))
        continue;
      for (unsigned j = 0; j < death->count; j++)
        {
          if (place_of (death->parts[j]) > place_of (part)
              && front_parts_deaths (parts, death->parts[j]) >= SERVERS_MIN)
            return true;
        }
    }
  return false;
}

static bool
is_explained (const PartsDeath *death, Quarantine *refused, int64_t now_ms)
{
  for (unsigned i = 0; i < death->count; i++)
    {
      if (quarantine_contains (refused, death->parts[i], now_ms))
        return true;
    }
  return false;
}

static void
forget_deaths (FrontParts *parts, PartHash part)
{
  for (unsigned i = 0; i < PARTS_DEATHS_MAX; i++)
    {
      if (includes (&parts->deaths[i], part))
        parts->deaths[i] = (PartsDeath){ 0 };
    }
}

static bool
is_old (const PartsDeath *death, int64_t now_ms)
{
  return death->server != 0 && now_ms - death->at_ms >= PARTS_JUDGE_AFTER_MS
         && death->answered_ms != 0 && now_ms - death->answered_ms >= PARTS_JUDGE_AFTER_MS;
}

/* True if enough servers ended under the part, so long ago that an answer would have cleared it. */
static bool
is_due (const FrontParts *parts, PartHash part, int64_t now_ms)
{
  unsigned old = 0;

  for (unsigned i = 0; i < PARTS_DEATHS_MAX; i++)
    old += is_old (&parts->deaths[i], now_ms) && includes (&parts->deaths[i], part)
           && !is_same_server_before (parts, i, part);
  return old >= SERVERS_MIN;
}

PartHash
front_parts_judge (FrontParts *parts, Quarantine *refused, int64_t now_ms)
{
  for (unsigned i = 0; i < PARTS_DEATHS_MAX; i++)
    {
      PartsDeath *death = &parts->deaths[i];

      if (now_ms - death->at_ms > RETENTION_MS || is_explained (death, refused, now_ms))
        *death = (PartsDeath){ 0 };
      for (unsigned j = 0; is_old (death, now_ms) && j < death->count; j++)
        {
          PartHash part = death->parts[j];

          if (!is_due (parts, part, now_ms) || has_deeper_suspect (parts, part))
            continue;
          forget_deaths (parts, part);
          return part;
        }
    }
  return 0;
}

unsigned
front_parts_report (const FrontParts *parts, QuarantineDeath *out, unsigned turn, int64_t now_ms)
{
  unsigned count = 0;

  for (unsigned i = 0; i < PARTS_DEATHS_MAX && count < PARTS_REPORT_MAX; i++)
    {
      const PartsDeath *death = &parts->deaths[(turn * PARTS_REPORT_MAX + i) % PARTS_DEATHS_MAX];

      if (death->server == 0 || death->count == 0 || now_ms - death->at_ms > REPORT_MS)
        continue;
      out[count] = (QuarantineDeath){ .server = death->server,
                                      .age_ms = (uint32_t)(now_ms - death->at_ms),
                                      .count = death->count };
      memcpy (out[count].flights, death->parts, death->count * sizeof *death->parts);
      count++;
    }
  return count;
}

unsigned
front_parts_cleared (const FrontParts *parts, PartCleared *out, unsigned turn, int64_t now_ms)
{
  unsigned count = 0;

  for (unsigned i = 0; i < PARTS_CLEARED_MAX && count < PARTS_REPORT_MAX; i++)
    {
      const PartBegun *entry = &parts->cleared[(turn * PARTS_REPORT_MAX + i) % PARTS_CLEARED_MAX];

      if (entry->part != 0 && now_ms - entry->begun_ms <= PARTS_SOUND_MS)
        out[count++]
            = (PartCleared){ .part = entry->part, .age_ms = (uint32_t)(now_ms - entry->begun_ms) };
    }
  return count;
}
