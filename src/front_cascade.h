/**
 * Decides whether the smallest model's answer is relayed, or dropped and a larger model asked. No
 * I/O.
 */
#ifndef FRONT_CASCADE_H
#define FRONT_CASCADE_H

#include <stdbool.h>
#include <stdint.h>

/** Model whose answer the caller gets. */
typedef enum
{
  CASCADE_KEEP, /**< the smallest one, which has answered */
  CASCADE_MIDDLE,
  CASCADE_LARGEST
} CascadeStep;

/** Prediction for a request to a larger model. */
typedef struct
{
  bool has_server;   /**< a server may get it; if not, the times mean nothing */
  double first_ms;   /**< milliseconds until its answer begins */
  double wait_ms;    /**< part of first_ms that is learned from late answers */
  double reading_ms; /**< part of first_ms spent reading the prompt */
} CascadeForecast;

/** What is known when a smaller model's answer begins. */
typedef struct
{
  int confidence;       /**< the model's confidence in its answer, 0 to 100; -1: not given */
  bool has_middle;      /**< the route has a model between the smallest and the largest */
  int64_t priority;     /**< of the route; 0: most urgent */
  int64_t elapsed_ms;   /**< since the request arrived */
  int64_t objective_ms; /**< within which the answer should begin */
  double lag_ms;        /**< by which engines' answers currently begin later than predicted */
  /** Predicts a step. Called only for the steps that are considered. */
  CascadeForecast (*forecast) (void *user, CascadeStep step);
  void *user;
} CascadeCase;

/** Decides which model's answer the caller gets. */
CascadeStep front_cascade_step (const CascadeCase *c);

#endif
