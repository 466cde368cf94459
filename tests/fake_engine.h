/**
 * A simple backend server for tests, on a free port of loopback: answers requests according to its
 * behaviour, and counts those that arrived completely. A single thread, which accepts one
 * connection after the other.
 */
#ifndef FAKE_ENGINE_H
#define FAKE_ENGINE_H

#include <stdbool.h>
#include <stddef.h>

typedef enum
{
  ENGINE_ANSWERS,          /**< a stream of three tokens; for paths other than chat a JSON body */
  ENGINE_NOT_RUN,          /**< 503 with code not_run */
  ENGINE_CLOSES,           /**< closes the connection without an answer */
  ENGINE_CUTS,             /**< closes the connection within the stream; resuming it gives 404 */
  ENGINE_FAILS,            /**< 500 */
  ENGINE_REFUSES,          /**< 400 */
  ENGINE_HANGS,            /**< gives no answer; closes the connection when it gets a DELETE */
  ENGINE_DIES,             /**< closes the connection without an answer, and stops listening */
  ENGINE_PLAIN_503,        /**< 503 with a body without the code not_run */
  ENGINE_CUTS_HEAD,        /**< stops within the head of its answer: see fake_engine_set_head_cut */
  ENGINE_CUTS_RESUMED_HEAD /**< closes the connection within the stream, and stops within the head
                              of the answer that resumes it */
} EngineBehaviour;

typedef struct FakeEngine FakeEngine;

FakeEngine *fake_engine_start (EngineBehaviour behaviour);
void fake_engine_stop (FakeEngine *engine);
/** Stops listening: further connections are refused. */
void fake_engine_die (FakeEngine *engine);
int fake_engine_port (const FakeEngine *engine);
void fake_engine_set_behaviour (FakeEngine *engine, EngineBehaviour behaviour);
/** After how many bytes of the head it stops, and whether it resets the connection then. */
void fake_engine_set_head_cut (FakeEngine *engine, size_t len, bool reset);
/** Number of requests that arrived completely, without DELETE and resumption: those that ran, or
 *  could have run. */
size_t fake_engine_ran (const FakeEngine *engine);
/** Number of connections that were closed in the middle of a request. */
size_t fake_engine_incomplete (const FakeEngine *engine);
/** Number of DELETE requests. */
size_t fake_engine_cancelled (const FakeEngine *engine);

#endif
