#include "front_peer_message.h"
#include "front_evidence_code.h"
#include <rpc/xdr.h>
#include <string.h>

#define MAGIC 0x4c48424fu /* "LHBO"; to be incremented with any change of the format */
/* Places of an age and of marks in one word. */
#define AGE_SHIFT     16
#define REACHED_SHIFT 8

static bool_t
xdr_hash (XDR *xdr, uint64_t *value)
{
  return xdr_uint64_t (xdr, value);
}

static bool_t
xdr_evidence (XDR *xdr, FrontEvidence *evidence)
{
  unsigned char code[EVIDENCE_CODE_MAX];
  uint32_t len = 0;

  if (xdr->x_op == XDR_ENCODE)
    len = (uint32_t)front_evidence_encode (evidence, code);
  if (!xdr_uint32_t (xdr, &len) || len > sizeof code || !xdr_opaque (xdr, (char *)code, len))
    return FALSE;
  return xdr->x_op == XDR_ENCODE || front_evidence_decode (evidence, code, len);
}

static bool_t
xdr_list_length (XDR *xdr, uint32_t *count, uint32_t max)
{
  return xdr_uint32_t (xdr, count) && *count <= max;
}

static bool_t
xdr_sessions (XDR *xdr, PeerRollout *rollout)
{
  if (!xdr_list_length (xdr, &rollout->session_count, PEER_SESSIONS_MAX))
    return FALSE;
  for (unsigned i = 0; i < rollout->session_count; i++)
    {
      if (!xdr_hash (xdr, &rollout->sessions[i].session)
          || !xdr_uint32_t (xdr, &rollout->sessions[i].age_ms))
        return FALSE;
    }
  return TRUE;
}

static bool_t
xdr_rollout (XDR *xdr, PeerRollout *rollout)
{
  if (!xdr_hash (xdr, &rollout->service) || !xdr_int64_t (xdr, &rollout->order)
      || !xdr_uint32_t (xdr, &rollout->old_busy_age_ms) || !xdr_uint32_t (xdr, &rollout->is_bad)
      || !xdr_evidence (xdr, &rollout->evidence)
      || !xdr_list_length (xdr, &rollout->domain_count, PEER_DOMAINS_MAX))
    return FALSE;
  for (unsigned i = 0; i < rollout->domain_count; i++)
    {
      if (!xdr_uint32_t (xdr, &rollout->domains[i].domain)
          || !xdr_evidence (xdr, &rollout->domains[i].evidence))
        return FALSE;
    }
  return xdr_sessions (xdr, rollout);
}

static bool_t
xdr_death (XDR *xdr, QuarantineDeath *death)
{
  if (!xdr_hash (xdr, &death->server) || !xdr_uint32_t (xdr, &death->age_ms)
      || !xdr_uint32_t (xdr, &death->count) || death->count > QUARANTINE_FLIGHT_MAX)
    return FALSE;
  for (unsigned i = 0; i < death->count; i++)
    {
      if (!xdr_hash (xdr, &death->flights[i]))
        return FALSE;
    }
  return TRUE;
}

/* Both in one word, as a message lists many fronts. age_ms may be NULL. */
static bool_t
xdr_age_and_reach (XDR *xdr, uint32_t *age_ms, PeerReach *reach)
{
  uint32_t age = age_ms ? *age_ms : 0;
  uint32_t word = 0;

  if (age > PEER_AGE_MAX_MS)
    age = PEER_AGE_MAX_MS;
  if (xdr->x_op == XDR_ENCODE)
    word = age << AGE_SHIFT | (uint32_t)reach->reached << REACHED_SHIFT | reach->lost;
  if (!xdr_uint32_t (xdr, &word))
    return FALSE;
  if (xdr->x_op == XDR_ENCODE)
    return TRUE;
  reach->reached = (uint8_t)(word >> REACHED_SHIFT);
  reach->lost = (uint8_t)word;
  if (age_ms)
    *age_ms = word >> AGE_SHIFT;
  return TRUE;
}

static bool_t
xdr_parts (XDR *xdr, PeerMessage *message)
{
  if (!xdr_list_length (xdr, &message->part_death_count, PARTS_REPORT_MAX))
    return FALSE;
  for (unsigned i = 0; i < message->part_death_count; i++)
    {
      if (!xdr_death (xdr, &message->part_deaths[i]))
        return FALSE;
    }
  if (!xdr_list_length (xdr, &message->cleared_count, PARTS_REPORT_MAX))
    return FALSE;
  for (unsigned i = 0; i < message->cleared_count; i++)
    {
      if (!xdr_hash (xdr, &message->cleared[i].part)
          || !xdr_uint32_t (xdr, &message->cleared[i].age_ms))
        return FALSE;
    }
  return TRUE;
}

static bool_t
xdr_lists (XDR *xdr, PeerMessage *message)
{
  if (!xdr_list_length (xdr, &message->rollout_count, PEER_ROLLOUTS_MAX))
    return FALSE;
  for (unsigned i = 0; i < message->rollout_count; i++)
    {
      if (!xdr_rollout (xdr, &message->rollouts[i]))
        return FALSE;
    }
  if (!xdr_list_length (xdr, &message->death_count, PEER_DEATHS_MAX))
    return FALSE;
  for (unsigned i = 0; i < message->death_count; i++)
    {
      if (!xdr_death (xdr, &message->deaths[i]))
        return FALSE;
    }
  if (!xdr_list_length (xdr, &message->refusal_count, PEER_REFUSALS_MAX))
    return FALSE;
  for (unsigned i = 0; i < message->refusal_count; i++)
    {
      QuarantineRefusal *refusal = &message->refusals[i];

      if (!xdr_hash (xdr, &refusal->fingerprint) || !xdr_uint32_t (xdr, &refusal->left_ms))
        return FALSE;
    }
  if (!xdr_list_length (xdr, &message->return_count, PEER_RETURNS_MAX))
    return FALSE;
  for (unsigned i = 0; i < message->return_count; i++)
    {
      if (!xdr_uint32_t (xdr, &message->returns[i].domain)
          || !xdr_uint32_t (xdr, &message->returns[i].age_ms)
          || !xdr_int64_t (xdr, &message->returns[i].version))
        return FALSE;
    }
  if (!xdr_list_length (xdr, &message->member_count, PEER_MEMBERS_MAX))
    return FALSE;
  for (unsigned i = 0; i < message->member_count; i++)
    {
      PeerMember *member = &message->members[i];

      if (!xdr_uint32_t (xdr, &member->ip) || !xdr_uint32_t (xdr, &member->domain)
          || !xdr_age_and_reach (xdr, &member->age_ms, &member->reach))
        return FALSE;
    }
  return TRUE;
}

static bool_t
xdr_counts (XDR *xdr, PeerMessage *message)
{
  if (!xdr_uint32_t (xdr, &message->domain_fronts)
      || !xdr_list_length (xdr, &message->count_count, PEER_COUNTS_MAX))
    return FALSE;
  for (unsigned i = 0; i < message->count_count; i++)
    {
      PeerCount *count = &message->counts[i];

      if (!xdr_uint32_t (xdr, &count->domain) || !xdr_uint32_t (xdr, &count->fronts)
          || !xdr_uint32_t (xdr, &count->age_ms))
        return FALSE;
    }
  return TRUE;
}

static bool_t
xdr_services (XDR *xdr, PeerMessage *message)
{
  if (!xdr_list_length (xdr, &message->service_count, PEER_SERVICES_MAX))
    return FALSE;
  for (unsigned i = 0; i < message->service_count; i++)
    {
      if (!xdr_hash (xdr, &message->services[i]))
        return FALSE;
    }
  return xdr_age_and_reach (xdr, NULL, &message->reach);
}

static bool_t
xdr_message (XDR *xdr, PeerMessage *message)
{
  uint32_t magic = MAGIC;

  if (!xdr_uint32_t (xdr, &magic) || magic != MAGIC)
    return FALSE;
  if (!xdr_hash (xdr, &message->incarnation) || !xdr_uint32_t (xdr, &message->domain))
    return FALSE;
  for (unsigned i = 0; i < PEER_TABLES; i++)
    {
      if (!xdr_int64_t (xdr, &message->newest[i]))
        return FALSE;
    }
  return xdr_counts (xdr, message) && xdr_services (xdr, message) && xdr_parts (xdr, message)
         && xdr_lists (xdr, message);
}

size_t
peer_message_encode (const PeerMessage *message, void *out, size_t size)
{
  PeerMessage copy = *message;
  size_t len;
  XDR xdr;

  xdrmem_create (&xdr, out, (u_int)size, XDR_ENCODE);
  len = xdr_message (&xdr, &copy) ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  return len;
}

bool
peer_message_decode (PeerMessage *message, const void *data, size_t len)
{
  XDR xdr;
  bool good;

  memset (message, 0, sizeof *message);
  xdrmem_create (&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
  good = xdr_message (&xdr, message);
  xdr_destroy (&xdr);
  return good;
}
