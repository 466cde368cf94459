/**
 * Learns how long the servers of a plain service take to answer: over the service, and by how much
 * each server differs from that. A server that turned slow, or fast again, shows after a few
 * answers; one that gets no requests is expected to become like the others within seconds. No I/O.
 */
#ifndef FRONT_ANSWER_TIME_H
#define FRONT_ANSWER_TIME_H

#include <stdint.h>

/** Services kept; a service beyond them replaces the one that answered longest ago. */
#define ANSWER_SERVICES_MAX 16

/** Answers of one server. */
typedef struct
{
  double ms;     /**< smoothed, as of at_ms */
  int64_t at_ms; /**< of the last answer; 0: there was none */
} AnswerTime;

/** Answers of one service. */
typedef struct
{
  uint64_t service; /**< hash of its name; 0: empty */
  double typical_ms;
  int64_t at_ms; /**< of the last answer */
} ServiceAnswerTime;

typedef struct
{
  ServiceAnswerTime services[ANSWER_SERVICES_MAX];
} FrontAnswerTimes;

/** Milliseconds that an answer of the service usually takes; 0: not known yet. */
double front_answer_times_typical_ms (const FrontAnswerTimes *times, uint64_t service);
/** Records an answer that took so many milliseconds at one server of the service. Values that are
 *  no time are ignored. */
void front_answer_times_add (FrontAnswerTimes *times,
                             uint64_t service,
                             AnswerTime *server,
                             double ms,
                             int64_t now_ms);
/** Records that an answer is missing after so many milliseconds. Changes nothing if that is less
 *  than what is known of the server, and never what is known of the service. */
void answer_time_add_missing (AnswerTime *server, double typical_ms, double ms, int64_t now_ms);
/** Milliseconds by which an answer of the server is expected to take longer than usual; negative:
 *  shorter. */
double answer_time_extra_ms (const AnswerTime *server, double typical_ms, int64_t now_ms);

#endif
