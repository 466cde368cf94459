#include "front_evidence_code.h"
#include <string.h>

/* Numbers are written in groups of seven bits, the lowest first; all but the last have the high bit
 * set. */
#define GROUP_BITS 7
#define GROUP_MASK 0x7fu
#define MORE_BIT   0x80u
#define BITS_MAX   32
#define BYTE_BITS  8
#define BYTE_MASK  0xffu

typedef struct
{
  const unsigned char *at;
  const unsigned char *end;
  bool failed; /* the data ended early, or a number is too large */
} Reader;

static unsigned char *
put_number (unsigned char *out, uint32_t value)
{
  while (value > GROUP_MASK)
    {
      *out++ = (unsigned char)((value & GROUP_MASK) | MORE_BIT);
      value >>= GROUP_BITS;
    }
  *out++ = (unsigned char)value;
  return out;
}

static unsigned
get_byte (Reader *reader)
{
  if (reader->at == reader->end)
    {
      reader->failed = true;
      return 0;
    }
  return *reader->at++;
}

static uint32_t
get_number (Reader *reader)
{
  uint64_t value = 0;
  unsigned byte;

  for (unsigned shift = 0; shift < BITS_MAX; shift += GROUP_BITS)
    {
      byte = get_byte (reader);
      value |= (uint64_t)(byte & GROUP_MASK) << shift;
      if ((byte & MORE_BIT) == 0)
        {
          reader->failed |= value > UINT32_MAX;
          return (uint32_t)value;
        }
    }
  reader->failed = true;
  return 0;
}

static unsigned char *
put_count (unsigned char *out, const EvidenceCount *count)
{
  unsigned present = 0;

  for (unsigned i = 0; i < EVIDENCE_DELAYS; i++)
    present |= count->delays[i] ? 1u << i : 0;
  out = put_number (out, count->answers);
  out = put_number (out, count->failed);
  *out++ = (unsigned char)(present & BYTE_MASK);
  *out++ = (unsigned char)(present >> BYTE_BITS);
  for (unsigned i = 0; i < EVIDENCE_DELAYS; i++)
    {
      if (count->delays[i])
        out = put_number (out, count->delays[i]);
    }
  return out;
}

static void
get_count (Reader *reader, EvidenceCount *count)
{
  unsigned present;

  count->answers = get_number (reader);
  count->failed = get_number (reader);
  present = get_byte (reader);
  present |= get_byte (reader) << BYTE_BITS;
  reader->failed |= present >> EVIDENCE_DELAYS != 0;
  for (unsigned i = 0; i < EVIDENCE_DELAYS; i++)
    {
      if (present & 1u << i)
        count->delays[i] = get_number (reader);
    }
}

/* Streams are counted without being answers of their own. */
static bool
has_counts (const EvidenceCount *count)
{
  return count->answers > 0 || evidence_count_late (count, 0) > 0;
}

static bool
has_route (const FrontEvidence *evidence, unsigned route)
{
  return has_counts (&evidence->counts[EVIDENCE_NEW][route])
         || has_counts (&evidence->counts[EVIDENCE_OLD][route]);
}

size_t
front_evidence_encode (const FrontEvidence *evidence, unsigned char out[EVIDENCE_CODE_MAX])
{
  unsigned char *at = out;
  unsigned routes = 0, groups = 0;

  for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
    routes |= has_route (evidence, i) ? 1u << i : 0;
  for (unsigned i = 0; i < EVIDENCE_GROUPS; i++)
    groups |= has_counts (&evidence->groups[i]) ? 1u << i : 0;
  *at++ = (unsigned char)routes;
  *at++ = (unsigned char)groups;
  for (unsigned i = 0; i < EVIDENCE_ROUTES; i++)
    {
      if ((routes & 1u << i) == 0)
        continue;
      at = put_count (at, &evidence->counts[EVIDENCE_NEW][i]);
      at = put_count (at, &evidence->counts[EVIDENCE_OLD][i]);
      at = put_number (at, evidence->loaded[i].answers);
      at = put_number (at, evidence->loaded[i].failed);
    }
  for (unsigned i = 0; i < EVIDENCE_GROUPS; i++)
    {
      if (groups & 1u << i)
        at = put_count (at, &evidence->groups[i]);
    }
  return (size_t)(at - out);
}

bool
front_evidence_decode (FrontEvidence *evidence, const unsigned char *data, size_t len)
{
  Reader reader = { .at = data, .end = data + len };
  unsigned routes = get_byte (&reader), groups = get_byte (&reader);

  memset (evidence, 0, sizeof *evidence);
  reader.failed |= groups >> EVIDENCE_GROUPS != 0;
  for (unsigned i = 0; i < EVIDENCE_ROUTES && !reader.failed; i++)
    {
      if ((routes & 1u << i) == 0)
        continue;
      get_count (&reader, &evidence->counts[EVIDENCE_NEW][i]);
      get_count (&reader, &evidence->counts[EVIDENCE_OLD][i]);
      evidence->loaded[i].answers = get_number (&reader);
      evidence->loaded[i].failed = get_number (&reader);
    }
  for (unsigned i = 0; i < EVIDENCE_GROUPS && !reader.failed; i++)
    {
      if (groups & 1u << i)
        get_count (&reader, &evidence->groups[i]);
    }
  return !reader.failed && reader.at == reader.end;
}
