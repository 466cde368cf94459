/**
 * What reading a long prompt at a model engine costs the streams that run there: they pause until
 * it is read. No I/O.
 */
#ifndef FRONT_READING_H
#define FRONT_READING_H

/** All but running in milliseconds. */
typedef struct
{
  double read_ms;    /**< of the prompt */
  double pending_ms; /**< of the prompts that are read there before it */
  double running;    /**< streams there, weighted by model */
  double pause_ms;   /**< longest pause that is still on time; 0: not considered */
} ReadingCase;

/** Milliseconds to add to the cost of a server. */
double front_reading_cost_ms (const ReadingCase *c);

#endif
