/**
 * Event queue of the virtual clock: events in order of their time; those of the same time in the
 * order in which they were pushed.
 */
#ifndef MODEL_EVENT_H
#define MODEL_EVENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  EVENT_ARRIVAL, /**< a caller makes a new request */
  EVENT_SUBMIT,  /**< a request reaches a gate, for the first time or again; subject: request */
  EVENT_ENQUEUE, /**< an attempt reaches its engine; subject: request */
  EVENT_DONE,    /**< an engine has completed an answer; subject: request */
  EVENT_FAILED,  /**< an attempt fails: its engine died or refused it; subject: request */
  EVENT_TIMEOUT, /**< an attempt's time-out has expired; subject: request */
  EVENT_RATED,   /**< the rating of a stage's answer has arrived; subject: request */
  EVENT_SAMPLE,  /**< engines sample their load */
  EVENT_REPORT,  /**< a gate reads the engines' load reports; subject: gate */
  EVENT_CONTROL, /**< a steward merges the gates' evidence and advances or stops the roll-out */
  EVENT_RESTART, /**< an engine that a request crashed runs again; subject: engine */
  EVENT_FAULT    /**< a fault of the scenario begins or ends; subject: index into its faults */
} EventKind;

typedef struct
{
  int64_t at_us;
  uint64_t order; /**< in which it was pushed; set by event_push */
  EventKind kind;
  unsigned subject;
  unsigned attempt; /**< of the request when pushed; most events are ignored once it has a later
                       attempt */
  unsigned engine;
  unsigned engine_incarnation; /**< of the engine when pushed; EVENT_DONE is ignored once it has
                                  changed */
} Event;

typedef struct
{
  Event *heap;
  size_t count;
  size_t cap;
  uint64_t pushed;
} EventQueue;

/** Adds a copy of the event. */
void event_push (EventQueue *queue, const Event *event);
/** Removes the next event; false if there is none. */
bool event_pop (EventQueue *queue, Event *out);
void event_queue_free (EventQueue *queue);

#endif
