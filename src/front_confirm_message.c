#include "front_confirm_message.h"
#include <rpc/xdr.h>
#include <string.h>

#define MAGIC 0x4c484243u /* "LHBC"; to be incremented with any change of the format */

static bool_t
xdr_message (XDR *xdr, ConfirmMessage *message)
{
  uint32_t magic = MAGIC;

  return xdr_uint32_t (xdr, &magic) && magic == MAGIC && xdr_uint64_t (xdr, &message->incarnation)
         && xdr_uint32_t (xdr, &message->table) && xdr_int64_t (xdr, &message->confirmation.at_ms)
         && xdr_int64_t (xdr, &message->confirmation.newest);
}

size_t
confirm_message_encode (const ConfirmMessage *message, void *out, size_t size)
{
  ConfirmMessage copy = *message;
  size_t len;
  XDR xdr;

  xdrmem_create (&xdr, out, (u_int)size, XDR_ENCODE);
  len = xdr_message (&xdr, &copy) ? xdr_getpos (&xdr) : 0;
  xdr_destroy (&xdr);
  return len;
}

bool
confirm_message_decode (ConfirmMessage *message, const void *data, size_t len)
{
  XDR xdr;
  bool good;

  memset (message, 0, sizeof *message);
  xdrmem_create (&xdr, (char *)(uintptr_t)data, (u_int)len, XDR_DECODE);
  good = xdr_message (&xdr, message);
  xdr_destroy (&xdr);
  return good;
}
