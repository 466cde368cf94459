#include "gate_raw.h"
#include "util_clock.h"
#include <poll.h>
#include <sys/socket.h>

#define DRAIN_MAX_MS 1000
#define MS_PER_S     1000
#define DRAIN_BLOCK  16384 /* bytes */

void
gate_raw_answer (const Refusal *refusal, Buffer *out)
{
  Buffer body = { 0 };

  refusal_json (refusal, &body);
  buffer_printf (out,
                 "HTTP/1.1 %d Refused\r\nContent-Type: application/json\r\nX-Lovage-State: %s\r\n",
                 refusal_http_status (refusal->reason), request_state_name (refusal->state));
  if (refusal->retry_after_ms > 0)
    buffer_printf (out, "Retry-After: %lld\r\n",
                   (long long)(refusal->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
  buffer_printf (out, "Connection: close\r\nContent-Length: %zu\r\n\r\n", body.len);
  buffer_add (out, body.data, body.len);
  buffer_free (&body);
}

void
gate_raw_refuse (int fd, const Refusal *refusal)
{
  Buffer out = { 0 };

  gate_raw_answer (refusal, &out);
  (void)send (fd, out.data, out.len, MSG_DONTWAIT | MSG_NOSIGNAL);
  buffer_free (&out);
}

void
gate_raw_drain (int fd)
{
  char block[DRAIN_BLOCK];
  int64_t until_ms = clock_boot_ms () + DRAIN_MAX_MS;
  int64_t left_ms;

  shutdown (fd, SHUT_WR);
  while ((left_ms = until_ms - clock_boot_ms ()) > 0)
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      if (poll (&p, 1, (int)left_ms) <= 0 || recv (fd, block, sizeof (block), MSG_DONTWAIT) <= 0)
        return;
    }
}
