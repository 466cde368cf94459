#include "front_peer_load.h"
#include <math.h>

/* Milliseconds. No server has more reading queued, as callers leave and requests time out. Like
 * RUNNING_MAX, which is above any server's slots, this limits the effect of a wrong message. */
#define READ_MAX_MS 10000.0
#define RUNNING_MAX 1000.0
/* Milliseconds in which half of the reported requests have ended: streams last two to three
 * seconds. */
#define RUNNING_HALF_LIFE_MS 2000.0

double
front_peer_load_read_ms (const FrontPeerLoad *load, int64_t now_ms)
{
  return fmax (0, load->read_ms - (double)(now_ms - load->at_ms));
}

double
front_peer_load_running (const FrontPeerLoad *load, int64_t now_ms)
{
  return load->running * exp2 (-(double)(now_ms - load->at_ms) / RUNNING_HALF_LIFE_MS);
}

void
front_peer_load_add (FrontPeerLoad *load, double read_ms, double running, int64_t now_ms)
{
  double read = front_peer_load_read_ms (load, now_ms) + (read_ms > 0 ? read_ms : 0);
  double run = front_peer_load_running (load, now_ms) + (running > 0 ? running : 0);

  *load = (FrontPeerLoad){ .read_ms = fmin (read, READ_MAX_MS),
                           .running = fmin (run, RUNNING_MAX),
                           .at_ms = now_ms };
}
