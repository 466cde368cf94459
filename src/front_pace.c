#include "front_pace.h"

/* Gaps between events over which a stream is measured: few, as many answers are short and a version
 * has to be judged while its first answers still run. */
#define GAPS_MIN 4
/* Streams of the old version without which nothing is compared. */
#define STREAMS_MIN 4
/* Streams over which the mean is taken: it has to follow the load within seconds. */
#define STREAMS_MEAN 16

bool
pace_stream_add (PaceStream *stream, int64_t events, int64_t now_ms, double *gap_ms)
{
  int64_t gaps = events - stream->begun_events;

  if (stream->is_measured)
    return false;
  if (stream->begun_ms == 0)
    {
      stream->begun_ms = now_ms;
      stream->begun_events = events;
      return false;
    }
  if (gaps < GAPS_MIN)
    return false;
  stream->is_measured = true;
  *gap_ms = (double)(now_ms - stream->begun_ms) / (double)gaps;
  return true;
}

void
front_pace_learn (FrontPace *pace, double gap_ms)
{
  if (pace->streams < STREAMS_MEAN)
    pace->streams++;
  pace->gap_ms += (gap_ms - pace->gap_ms) / pace->streams;
}

double
front_pace_usual_ms (const FrontPace *pace)
{
  return pace->streams < STREAMS_MIN ? 0 : pace->gap_ms;
}
