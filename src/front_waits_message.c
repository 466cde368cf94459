#include "front_waits_message.h"
#include <rpc/xdr.h>
#include <string.h>

#define MAGIC 0x4c484254u /* "LHBT"; to be incremented with any change of the format */

/* Bits of a report's last word: the wait, the rank, the age. */
#define WAIT_BITS 16
#define RANK_BITS 4
#define AGE_BITS  12

static uint32_t
mask (unsigned bits)
{
  return (1u << bits) - 1;
}

/* A larger value is sent as the largest, which a receiver refuses. */
static uint32_t
pack (const WaitReport *report)
{
  uint32_t wait = report->wait_ms < mask (WAIT_BITS) ? report->wait_ms : mask (WAIT_BITS);
  uint32_t rank = report->rank < mask (RANK_BITS) ? report->rank : mask (RANK_BITS);
  uint32_t age = report->age_ms < mask (AGE_BITS) ? report->age_ms : mask (AGE_BITS);

  return wait | rank << WAIT_BITS | age << (WAIT_BITS + RANK_BITS);
}

static bool_t
xdr_report (XDR *xdr, WaitReport *report)
{
  uint32_t word = pack (report);

  if (!xdr_uint64_t (xdr, &report->server) || !xdr_uint32_t (xdr, &report->request)
      || !xdr_uint32_t (xdr, &word))
    return FALSE;
  report->wait_ms = word & mask (WAIT_BITS);
  report->rank = word >> WAIT_BITS & mask (RANK_BITS);
  report->age_ms = word >> (WAIT_BITS + RANK_BITS);
  return TRUE;
}

static bool_t
xdr_message (XDR *xdr, WaitsMessage *message)
{
  uint32_t magic = MAGIC;

  if (!xdr_uint32_t (xdr, &magic) || magic != MAGIC || !xdr_uint64_t (xdr, &message->incarnation)
      || !xdr_uint32_t (xdr, &message->count) || message->count > WAITS_TOLD_MAX)
    return FALSE;
  for (uint32_t i = 0; i < message->count; i++)
    {
      if (!xdr_report (xdr, &message->reports[i]))
        return FALSE;
    }
  return TRUE;
}

size_t
waits_message_encode (const WaitsMessage *message, void *out, size_t size)
{
  WaitsMessage copy = *message;
  size_t len;
  XDR xdr;

  xdrmem_create (&xdr, out, (u_int)size, XDR_ENCODE);
  len = xdr_message (&xdr, &copy) ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  return len;
}

bool
waits_message_decode (WaitsMessage *message, const void *data, size_t len)
{
  XDR xdr;
  bool good;

  memset (message, 0, sizeof *message);
  xdrmem_create (&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
  good = xdr_message (&xdr, message);
  xdr_destroy (&xdr);
  return good;
}
