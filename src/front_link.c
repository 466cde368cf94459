#include "front_link.h"
#include <math.h>

#define BYTES_PER_MBIT 125000.0
#define MS_PER_S       1000.0
/* Share of the link that is used: the rest is for what is not counted, and for waiting times that
 * don't grow. */
#define USED_SHARE 0.85
/* Bytes of a packet's data, and of the headers of each packet and of its acknowledgement. */
#define PACKET_BYTES 1448
#define HEADER_BYTES 66
/* Milliseconds of the rate that may pass at once after a pause. The excess of a link that is full
 * shows slowly, as no more passes than it carries. */
#define BURST_MS 50
/* Milliseconds of the rate by which what has passed may exceed it. */
#define DEBT_MAX_MS 500
/* Connections that may be let in at once, in milliseconds of their rate, and at least. */
#define PLACES_MS  100
#define PLACES_MIN 8.0
/* Milliseconds in which what is known of requests loses half of its weight. */
#define KNOWN_HALF_MS 5000.0
/* A request's bytes before any is known, which count as so many requests. */
#define PRIOR_BYTES    8000.0
#define PRIOR_REQUESTS 20.0

void
front_link_set (FrontLink *link, double mbps, int64_t now_ms)
{
  *link = (FrontLink){
    .bytes_per_ms = mbps * BYTES_PER_MBIT / MS_PER_S * USED_SHARE,
    .requests = PRIOR_REQUESTS,
    .places = PLACES_MIN,
    .at_ms = now_ms,
  };
  for (unsigned i = 0; i < LINK_DIRECTIONS; i++)
    {
      link->left[i] = link->bytes_per_ms * BURST_MS;
      link->carried[i] = PRIOR_REQUESTS * PRIOR_BYTES;
    }
}

static void
carry (FrontLink *link, LinkDirection direction, double bytes)
{
  link->left[direction] -= bytes;
  link->carried[direction] += bytes;
}

void
front_link_count (FrontLink *link, LinkDirection direction, size_t bytes)
{
  size_t packets = (bytes + PACKET_BYTES - 1) / PACKET_BYTES;

  carry (link, direction, (double)(bytes + packets * HEADER_BYTES));
  carry (link, LINK_DIRECTIONS - 1 - direction, (double)(packets * HEADER_BYTES));
}

/* Requests a millisecond. */
static double
place_rate (const FrontLink *link)
{
  double bytes = fmax (link->carried[LINK_IN], link->carried[LINK_OUT]) / fmax (link->requests, 1);

  return link->bytes_per_ms / fmax (bytes, 1);
}

static void
pass_time (FrontLink *link, int64_t now_ms)
{
  double passed_ms = (double)(now_ms - link->at_ms);
  double kept = exp2 (-passed_ms / KNOWN_HALF_MS);
  double rate = place_rate (link);

  link->at_ms = now_ms;
  link->places = fmin (link->places + rate * passed_ms, fmax (rate * PLACES_MS, PLACES_MIN));
  link->requests *= kept;
  for (unsigned i = 0; i < LINK_DIRECTIONS; i++)
    {
      link->carried[i] *= kept;
      link->left[i] = fmax (link->left[i], -link->bytes_per_ms * DEBT_MAX_MS);
      link->left[i]
          = fmin (link->left[i] + link->bytes_per_ms * passed_ms, link->bytes_per_ms * BURST_MS);
    }
}

bool
front_link_let_in (FrontLink *link, int64_t now_ms)
{
  if (link->bytes_per_ms <= 0)
    return true;
  pass_time (link, now_ms);
  if (link->left[LINK_IN] <= 0 || link->left[LINK_OUT] <= 0 || link->places < 1)
    return false;
  link->places--;
  link->requests++;
  return true;
}

void
front_link_count_request (FrontLink *link)
{
  link->requests++;
  link->places = fmax (link->places - 1, -PLACES_MIN);
}

double
front_link_excess (const FrontLink *link)
{
  return fmax (0, -fmin (link->left[LINK_IN], link->left[LINK_OUT]));
}
