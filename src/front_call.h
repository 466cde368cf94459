/**
 * A caller's request in the project's own terms: what routing, choosing and sending need of it.
 */
#ifndef FRONT_CALL_H
#define FRONT_CALL_H

#include "http_head.h"

#define PROMPT_PARTS_MAX 16

/** A part of a prompt; requests that share their first parts share a server's cache of them. */
typedef struct
{
  uint64_t id;
  int64_t tokens;
} PromptPart;

typedef struct
{
  Span host; /**< without a port */
  Span path; /**< without the query */
  Span id;   /**< of this attempt of the caller; each of its retries has another */
  Span key;  /**< what the caller authenticates with; absent: none */
  Span session;
  Span model;            /**< "*": any of the route's models */
  int64_t deadline_ms;   /**< that the caller will wait; -1: not said */
  int64_t prompt_tokens; /**< 0: not said */
  int64_t after_event;   /**< a stream goes on behind this event; -1: from its start */
  unsigned part_count;
  PromptPart parts[PROMPT_PARTS_MAX];
} FrontCall;

/** What the router sets on the request that goes to a backend server. */
typedef struct
{
  const char *server_id; /**< any other server refuses the request */
  const char *team;      /**< NULL: none */
  Span model;            /**< absent: as the caller sent it */
  int64_t deadline_ms;   /**< time left */
  int64_t priority;      /**< 0 is the most urgent */
  int64_t after_event;   /**< -1: none */
} CallHeaders;

/** What a backend server's answer says of itself besides its bytes. */
typedef struct
{
  bool is_signed;    /**< it comes from a backend server, not from something between */
  bool not_executed; /**< the server vouches that the request did not run */
  bool other_server; /**< another server has the address now */
  bool is_encoded;   /**< the body is not the server's own bytes */
  int confidence;    /**< of the model in its answer, 0 to 100; -1: not said */
  Span request_id;   /**< which request is answered */
} ReplyInfo;

#endif
