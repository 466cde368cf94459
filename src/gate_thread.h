/**
 * Starts the gate's own threads.
 */
#ifndef GATE_THREAD_H
#define GATE_THREAD_H

#include <pthread.h>

/** Starts a joinable thread with a small stack; ends the program if it cannot be created. */
void gate_thread_start (pthread_t *thread, void *(*run) (void *context), void *context);

#endif
