/* Two parsers that read one head differently let a caller hide a request within another. What
 * libmicrohttpd takes all the same, choosing one reading, is refused here before any byte of a body
 * is read. */
#include "gate_framing.h"
#include <stdbool.h>
#include <string.h>
#include <strings.h>

#define DIGITS_MAX 18 /* any number of so many digits fits 64 bits */

typedef struct
{
  unsigned hosts;
  unsigned lengths;
  unsigned codings;
  const char *length;
  const char *coding;
} Framing;

static enum MHD_Result
count_field (void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
  Framing *framing = cls;

  if (kind != MHD_HEADER_KIND)
    return MHD_YES;
  if (strcasecmp (name, "Host") == 0)
    framing->hosts++;
  else if (strcasecmp (name, "Content-Length") == 0)
    {
      framing->lengths++;
      framing->length = value;
    }
  else if (strcasecmp (name, "Transfer-Encoding") == 0)
    {
      framing->codings++;
      framing->coding = value;
    }
  return MHD_YES;
}

static bool
is_length (const char *text)
{
  size_t len = text ? strlen (text) : 0;

  return len > 0 && len <= DIGITS_MAX && strspn (text, "0123456789") == len;
}

const char *
gate_framing_fault (struct MHD_Connection *connection, const char *version)
{
  Framing framing = { 0 };

  MHD_get_connection_values (connection, MHD_HEADER_KIND, count_field, &framing);
  if (framing.hosts > 1 || (framing.hosts == 0 && strcmp (version, MHD_HTTP_VERSION_1_0) != 0))
    return "Host: expected exactly one";
  if (framing.lengths > 1 || framing.codings > 1 || (framing.lengths > 0 && framing.codings > 0))
    return "expected one Content-Length or one Transfer-Encoding";
  if (framing.lengths > 0 && !is_length (framing.length))
    return "Content-Length: expected digits";
  if (framing.codings > 0 && (!framing.coding || strcasecmp (framing.coding, "chunked") != 0))
    return "Transfer-Encoding: expected chunked";
  return NULL;
}
