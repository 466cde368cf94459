/* The queue is a binary heap. */
#include "model_event.h"

#include "util_memory.h"
#include <stdlib.h>

#define INITIAL_CAP 1024

static bool
event_before (const Event *a, const Event *b)
{
  if (a->at_us != b->at_us)
    return a->at_us < b->at_us;
  return a->order < b->order;
}

static void
event_swap (Event *a, Event *b)
{
  Event saved = *a;

  *a = *b;
  *b = saved;
}

void
event_push (EventQueue *queue, const Event *event)
{
  size_t i = queue->count;

  if (queue->count == queue->cap)
    {
      queue->cap = queue->cap == 0 ? INITIAL_CAP : 2 * queue->cap;
      queue->heap = memory_grow (queue->heap, queue->cap, sizeof *queue->heap);
    }
  queue->heap[i] = *event;
  queue->heap[i].order = queue->pushed++;
  queue->count++;
  while (i > 0 && event_before (&queue->heap[i], &queue->heap[(i - 1) / 2]))
    {
      event_swap (&queue->heap[i], &queue->heap[(i - 1) / 2]);
      i = (i - 1) / 2;
    }
}

bool
event_pop (EventQueue *queue, Event *out)
{
  size_t i = 0;

  if (queue->count == 0)
    return false;
  *out = queue->heap[0];
  queue->heap[0] = queue->heap[--queue->count];
  for (;;)
    {
      size_t earliest = i;
      size_t child;

      for (child = 2 * i + 1; child <= 2 * i + 2 && child < queue->count; child++)
        {
          if (event_before (&queue->heap[child], &queue->heap[earliest]))
            earliest = child;
        }
      if (earliest == i)
        return true;
      event_swap (&queue->heap[i], &queue->heap[earliest]);
      i = earliest;
    }
}

void
event_queue_free (EventQueue *queue)
{
  free (queue->heap);
  *queue = (EventQueue){ 0 };
}
