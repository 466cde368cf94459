/**
 * Compares how fast streams go on. Nothing predicts the time between two events of a stream, which
 * depends on the model, the engine and its load; so streams of a new version are compared with what
 * streams of the old one take at the same front and time. No I/O.
 */
#ifndef FRONT_PACE_H
#define FRONT_PACE_H

#include <stdbool.h>
#include <stdint.h>

/** One attempt's stream. */
typedef struct
{
  int64_t begun_ms;     /**< when its first events were relayed; 0: not yet */
  int64_t begun_events; /**< number that had been relayed then, over all attempts */
  bool is_measured;     /**< its gap was given */
} PaceStream;

/** Streams of the old version at this front. */
typedef struct
{
  unsigned streams;
  double gap_ms; /**< their mean time between two events; the last streams count most */
} FrontPace;

/** Records that events have been relayed. True once for each stream, as soon as there are enough
 *  for its mean time between two events, gap_ms. */
bool pace_stream_add (PaceStream *stream, int64_t events, int64_t now_ms, double *gap_ms);
/** Learns from a stream of the old version. */
void front_pace_learn (FrontPace *pace, double gap_ms);
/** The usual time between two events, in milliseconds; 0: too few streams are known. */
double front_pace_usual_ms (const FrontPace *pace);

#endif
