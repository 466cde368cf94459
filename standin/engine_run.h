/**
 * Runs of the stand-in engine and their scheduler: continuous batching over a number of slots, with
 * a priority queue. One thread generates the tokens of all runs. Runs are kept until the process
 * ends, so that a test can check what ran and how often.
 */
#ifndef ENGINE_RUN_H
#define ENGINE_RUN_H

#include "engine_models.h"
#include "engine_text.h"
#include "util_buffer.h"
#include <pthread.h>
#include <stdint.h>
#include <urcu/list.h>

#define REQUEST_MAX     72  /**< bytes of a request id, with the NUL */
#define IDEMPOTENCY_MAX 136 /**< bytes of a key or user, with the NUL */

typedef enum
{
  RUN_QUEUED,
  RUN_RUNNING,
  RUN_DONE,
  RUN_CANCELLED
} RunState;

typedef struct
{
  struct cds_list_head node;        /**< in the list of queued or of running runs */
  struct cds_list_head record_node; /**< in the list of all runs */
  int64_t number;                   /**< from 0, in order of their start */
  char request[REQUEST_MAX];
  char model[ENGINE_NAME_MAX];
  char idempotency[IDEMPOTENCY_MAX];
  char user[IDEMPOTENCY_MAX]; /**< member "user" of the body */
  Prompt prompt;
  double quality;  /**< of the answer, from 0 to 1 */
  int priority;    /**< higher first */
  unsigned length; /**< tokens of the complete answer */
  unsigned tokens; /**< generated so far */
  RunState state;
  int64_t started_ms; /**< boot-time clock, when the complete request had arrived */
  int64_t ended_ms;   /**< boot-time clock; 0: not ended */
  int64_t next_ms;    /**< boot-time clock of the next token */
  int64_t resume_ms; /**< time after its connection closed until it is cancelled, unless another one
                        attaches */
  int64_t cancel_at_ms; /**< boot-time clock at which it is cancelled; 0: a caller is connected */
  int fd;               /**< of the connection that it answers; -1: none */
  unsigned attachments; /**< connections that it has answered so far */
  bool cut;             /**< the engine itself closed the connection */
  pthread_cond_t changed;
} Run;

typedef struct
{
  const char *request; /**< NULL: a random id */
  const char *idempotency;
  const char *user;
  const char *model;
  const Prompt *prompt;
  int priority;
  unsigned length; /**< tokens of the answer; 0: chosen by the prompt's hash */
} RunParams;

/** Starts the scheduler's thread. */
void runs_start (void);
/** Cancels all runs, as cut by the engine, and ends the thread. */
void runs_stop (void);

Run *run_begin (const RunParams *params);
/** The newest run of the request with this id, or NULL. */
Run *run_find (const char *request);
/** Waits until the run has more than seen tokens or has ended; returns its number of tokens. */
unsigned run_wait (Run *run, unsigned seen, RunState *state);
void run_cancel (Run *run);
/** Records that the engine itself closed the run's connection before the answer's end. */
void run_mark_cut (Run *run);
/** Appends the text of the run's first tokens to out. */
void run_text (const Run *run, unsigned tokens, Buffer *out);
/** Sets the connection that the run answers from now on; once that has closed, the run is cancelled
 *  unless another one attaches within resume_ms. Returns the number to pass to run_detach. */
unsigned run_attach (Run *run, int fd, int64_t resume_ms);
/** Called when the connection has ended; no effect if another one has attached since. */
void run_detach (Run *run, unsigned attachment);

void runs_count (int *running, int *queued);
/** JSON array of the runs from index from on, in order of their start. */
struct json_object *runs_record (size_t from);

#endif
