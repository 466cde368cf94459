#include "front_work_message.h"
#include <rpc/xdr.h>
#include <string.h>

#define MAGIC 0x4c484257u /* "LHBW"; to be incremented with any change of the format */

static bool_t
xdr_message (XDR *xdr, WorkMessage *message)
{
  uint32_t magic = MAGIC;

  if (!xdr_uint32_t (xdr, &magic) || magic != MAGIC || !xdr_uint64_t (xdr, &message->incarnation)
      || !xdr_uint32_t (xdr, &message->count) || message->count > WORK_REPORTS_MAX)
    return FALSE;
  for (uint32_t i = 0; i < message->count; i++)
    {
      if (!xdr_uint64_t (xdr, &message->reports[i].server)
          || !xdr_uint32_t (xdr, &message->reports[i].read_ms)
          || !xdr_uint32_t (xdr, &message->reports[i].running))
        return FALSE;
    }
  return TRUE;
}

size_t
work_message_encode (const WorkMessage *message, void *out, size_t size)
{
  WorkMessage copy = *message;
  size_t len;
  XDR xdr;

  xdrmem_create (&xdr, out, (u_int)size, XDR_ENCODE);
  len = xdr_message (&xdr, &copy) ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  return len;
}

bool
work_message_decode (WorkMessage *message, const void *data, size_t len)
{
  XDR xdr;
  bool good;

  memset (message, 0, sizeof *message);
  xdrmem_create (&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
  good = xdr_message (&xdr, message);
  xdr_destroy (&xdr);
  return good;
}
