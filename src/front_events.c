#include "front_events.h"
#include "util_span.h"
#include <string.h>

#define NO_ID (-1)

void
front_events_init (FrontEvents *events)
{
  *events = (FrontEvents){ .last_id = NO_ID };
}

/* Length of the first event with its empty line; 0 if the event is incomplete. */
static size_t
event_length (const char *data, size_t len)
{
  const char *lf = memmem (data, len, "\n\n", 2);
  const char *crlf = memmem (data, len, "\r\n\r\n", 4);

  if (lf && (!crlf || lf < crlf))
    return (size_t)(lf - data) + 2;
  return crlf ? (size_t)(crlf - data) + 4 : 0;
}

static int64_t
event_id (Span event)
{
  int64_t id;

  while (event.len > 0)
    {
      Span line = span_cut (&event, '\n');

      if (line.len > 0 && line.text[line.len - 1] == '\r')
        line.len--;
      if (line.len > 3 && memcmp (line.text, "id:", 3) == 0)
        {
          line.text += 3;
          line.len -= 3;
          return span_number (span_trim (line), &id) ? id : NO_ID;
        }
    }
  return NO_ID;
}

void
front_events_forward (FrontEvents *events, Buffer *input, Buffer *output)
{
  size_t taken = 0, len;

  while (!events->id_skipped && (len = event_length (input->data + taken, input->len - taken)) > 0)
    {
      int64_t id = event_id ((Span){ .text = input->data + taken, .len = len });

      if (id == NO_ID || id > events->last_id)
        {
          if (id != NO_ID && events->last_id != NO_ID && id > events->last_id + 1)
            events->id_skipped = true;
          else
            {
              buffer_add (output, input->data + taken, len);
              events->forwarded++;
            }
        }
      if (id > events->last_id && !events->id_skipped)
        events->last_id = id;
      taken += len;
    }
  buffer_consume (input, taken);
}
