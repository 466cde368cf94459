#include "front_descriptors.h"
#include "front_keep.h"

#define ALL_MAX 1000000 /* a process with a higher limit has none */
/* Event loop, log, listening sockets, settings; store and other fronts' rows, a few connections for
 * each table. */
#define OWN 24
/* Reserved by the platform for files, as far as the process has that many. */
#define FILES_MAX    200
#define HANDOFFS_MAX 64
#define COPIES_MAX   64
#define CONTROL_MAX  512 /* three times the fronts of a failure domain that ask one front */
#define READY_MAX    32

static int64_t
share (int64_t all, int64_t part, int64_t max)
{
  int64_t wanted = all / part;

  if (wanted > max)
    return max;
  return wanted > 1 ? wanted : 1;
}

FrontDescriptors
front_descriptors_divide (int64_t all)
{
  int64_t known = all > 0 && all < ALL_MAX ? all : ALL_MAX;
  FrontDescriptors divided = {
    .handoffs = (unsigned)share (known, 64, HANDOFFS_MAX),
    .copies = (unsigned)share (known, 64, COPIES_MAX),
    .kept = (unsigned)share (known, 16, KEEP_CONNECTIONS_MAX),
    .control = (unsigned)share (known, 8, CONTROL_MAX),
    .ready = (unsigned)share (known, 32, READY_MAX),
  };
  int64_t left = known - share (known, 10, FILES_MAX) - OWN - 2 * (int64_t)divided.handoffs
                 - divided.copies - divided.kept - divided.control - divided.ready;

  divided.callers = left >= 2 ? (unsigned)(left / 2) : 1;
  return divided;
}
