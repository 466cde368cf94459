#include "gate_thread.h"
#include "util_assert.h"

#define STACK_SIZE (256UL * 1024) /* bytes */

void
gate_thread_start (pthread_t *thread, void *(*run) (void *context), void *context)
{
  pthread_attr_t attr;
  int failed;

  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, STACK_SIZE);
  failed = pthread_create (thread, &attr, run, context);
  pthread_attr_destroy (&attr);
  INVARIANT (failed == 0, "pthread_create gave %d", failed);
}
