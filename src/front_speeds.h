/**
 * How long model engines take to read prompts, learned from the answers' own times: for each model
 * a factor on the time that is taken while nothing is known. A token is compared with all before
 * it, so that long prompts take more than in proportion. No I/O.
 */
#ifndef FRONT_SPEEDS_H
#define FRONT_SPEEDS_H

#include <stdint.h>

#define SPEEDS_MODELS_MAX 64 /**< models and versions remembered; the target has 27 in use */

/** Time to read a prompt with one model. */
typedef struct
{
  double ms_per_token;
  double ms_per_pair;
} ReadTime;

/** One answer that has begun. */
typedef struct
{
  uint64_t model;        /**< hash of the model's name */
  ReadTime prior;        /**< what is taken for the model while nothing is known */
  int64_t tokens;        /**< that had to be read, as far as is known */
  int64_t prompt_tokens; /**< these and the cached ones before them */
  double read_ms;        /**< that reading took: from the sending to the first event, less what was
                            predicted for all else */
  double overhead_ms;    /**< from the sending to the first event, less what was predicted for
                        reading and for what was queued */
} SpeedSample;

/** What is known of one model. */
typedef struct
{
  uint64_t model; /**< 0: empty */
  int64_t used_ms;
  double factor; /**< on the prior */
} ModelSpeed;

typedef struct
{
  ModelSpeed models[SPEEDS_MODELS_MAX];
  double first_ms; /**< from an idle engine's acceptance to its first event; 0: not known yet */
} FrontSpeeds;

/** Bounded, whatever the caller says of its prompt. */
double read_time_ms (const ReadTime *time, int64_t tokens, int64_t prompt_tokens);
/** Prior of a model by its rank among a route's models, 0 the smallest. */
ReadTime front_speeds_prior (unsigned rank, unsigned models);
ReadTime front_speeds_of (const FrontSpeeds *speeds, uint64_t model, const ReadTime *prior);
/** What a running request of a model with that time adds to the time of a token of all others, that
 *  of a middle-sized model being 1: a model that reads slowly writes slowly. */
double front_speeds_share (const ReadTime *time);
/** Milliseconds from an idle engine's acceptance to its first event, but for reading. */
double front_speeds_first_ms (const FrontSpeeds *speeds);
void front_speeds_add (FrontSpeeds *speeds, const SpeedSample *sample, int64_t now_ms);

#endif
