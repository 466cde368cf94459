#include "front_deaths.h"
#include "front_log.h"

/* Milliseconds within which all connections of a dying server are cut. */
#define TOGETHER_MS 150

/* The death that is being put together; cuts of another server or later ones begin the next. */
static QuarantineDeath current;
static int64_t current_ms;

void
front_deaths_cut (Front *front, FrontServer *server, uint64_t fingerprint, int64_t now_ms)
{
  if (current.server != server->hash || now_ms - current_ms > TOGETHER_MS)
    {
      current = (QuarantineDeath){ .server = server->hash };
      current_ms = now_ms;
    }
  if (current.count < QUARANTINE_FLIGHT_MAX)
    current.flights[current.count++] = fingerprint;
  quarantine_add (front->quarantine, &current, now_ms);
  if (quarantine_holds (front->quarantine, fingerprint, now_ms))
    {
      FrontLine *line = front_log_begin (FRONT_EVENT_QUARANTINE);

      front_log_number (line, "fingerprint", (int64_t)fingerprint);
      front_log_text (line, "server", server->entry.id);
      front_log_end (line);
    }
}
