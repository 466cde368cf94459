/**
 * Learns how fast model engines read prompts, from the times of their answers: for each model a
 * factor on a prior. Each token is compared with all before it, so reading time grows faster than
 * the prompt's length. No I/O.
 */
#ifndef FRONT_SPEEDS_H
#define FRONT_SPEEDS_H

#include <stdint.h>

/** Models and versions kept; the largest planned site uses 27. */
#define SPEEDS_MODELS_MAX 64

/** Time to read a prompt with one model: per token, and per pair of a token and one before it. */
typedef struct
{
  double ms_per_token;
  double ms_per_pair;
} ReadTime;

/** An answer that has begun. */
typedef struct
{
  uint64_t model;        /**< hash of the model's name */
  ReadTime prior;        /**< of the model, used until its speed is learned */
  int64_t tokens;        /**< tokens that had to be read, as far as known */
  int64_t prompt_tokens; /**< these and the cached ones before them */
  double read_ms; /**< time spent reading: from sending to the first event, less what was predicted
                     for all else */
  double overhead_ms; /**< from sending to the first event, less what was predicted for reading and
                         queueing */
} SpeedSample;

/** What has been learned of one model. */
typedef struct
{
  uint64_t model; /**< 0: empty */
  int64_t used_ms;
  double factor; /**< multiplies the prior */
} ModelSpeed;

typedef struct
{
  ModelSpeed models[SPEEDS_MODELS_MAX];
  double first_ms; /**< from an idle engine's acceptance to its first event; 0: not known yet */
} FrontSpeeds;

/** Milliseconds to read the last tokens of a prompt of prompt_tokens. Bounded, whatever prompt a
 *  caller claims. */
double read_time_ms (const ReadTime *time, int64_t tokens, int64_t prompt_tokens);
/** Prior of a model by its rank among a route's models; 0: the smallest. */
ReadTime front_speeds_prior (unsigned rank, unsigned models);
/** Reading time of a model as learned so far; the prior if nothing is known of it. */
ReadTime front_speeds_of (const FrontSpeeds *speeds, uint64_t model, const ReadTime *prior);
/** Weight of a running request of a model with that time: what it adds to the time per token of all
 *  others at its server; 1 for a middle-sized model. A model that reads slowly also generates its
 *  output slowly. */
double front_speeds_weight (const ReadTime *time);
/** Milliseconds from an idle engine's acceptance to its first event, without reading. */
double front_speeds_first_ms (const FrontSpeeds *speeds);
/** Learns from an answer. Impossible values are ignored, and an outlier has little effect. */
void front_speeds_add (FrontSpeeds *speeds, const SpeedSample *sample, int64_t now_ms);

#endif
