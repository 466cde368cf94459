/**
 * A caller's request, independent of its wire format: the fields that routing, server choice and
 * forwarding use.
 */
#ifndef FRONT_CALL_H
#define FRONT_CALL_H

#include "http_head.h"

#define PROMPT_PARTS_MAX 16

/** Part of a prompt. Requests whose prompts start with the same parts share a server's cache of
 *  them. */
typedef struct
{
  uint64_t id;
  int64_t tokens;
} PromptPart;

typedef struct
{
  Span host; /**< without a port */
  Span path; /**< without the query */
  Span id;   /**< of this attempt by the caller; each of its retries has a new id */
  Span key;  /**< credential of the caller; absent: none */
  Span session;
  Span model;                  /**< "*": any of the route's models */
  int64_t deadline_ms;         /**< how long the caller will wait; -1: not given */
  int64_t prompt_tokens;       /**< 0: not given */
  int64_t handed_off_attempts; /**< servers that the front tried which handed the request over; -1:
                                  it comes from a caller */
  int64_t after_event;         /**< the stream resumes after this event; -1: from its start */
  unsigned part_count;
  PromptPart parts[PROMPT_PARTS_MAX];
} FrontCall;

/** Headers that the front sets on a request to a backend server. */
typedef struct
{
  const char *server_id; /**< a server with another id refuses the request */
  const char *team;      /**< NULL: none */
  Span model;            /**< absent: as the caller sent it */
  int64_t deadline_ms;   /**< remaining time */
  int64_t priority;      /**< 0: most urgent */
  int64_t after_event;   /**< -1: none */
  bool keeps_connection; /**< the connection may be used again after the answer */
} CallHeaders;

/** Headers that the front sets on a request that it hands to another front. */
typedef struct
{
  unsigned attempts;   /**< servers that it has tried */
  int64_t deadline_ms; /**< remaining time */
  int64_t after_event; /**< -1: none */
  Span model;          /**< that the other front has to use; empty: as the caller sent it */
} HandoffHeaders;

/** Whether a backend server's answer names a number of requests per second. */
typedef enum
{
  REPLY_LIMIT_ABSENT,
  REPLY_LIMIT_NAMED,
  REPLY_LIMIT_UNREADABLE, /**< not a decimal number */
} ReplyLimit;

/** ReplyInfo.rest_ms of an answer that asks for rest, but not for how many seconds. */
#define REPLY_REST_UNREADABLE (-1)

/** What the headers of a backend server's answer say. */
typedef struct
{
  bool is_signed;    /**< sent by a backend server, not by an intermediary */
  bool not_executed; /**< the server guarantees that the request did not run */
  bool other_server; /**< the address now belongs to another server */
  bool leaving;      /**< the server is going to end and wants no new work */
  bool is_encoded;   /**< the body has a content encoding, so it is not the server's own bytes */
  int64_t rest_ms;   /**< the server turned the request away and wants none from this front for so
                        long; 0: it doesn't say so; REPLY_REST_UNREADABLE */
  ReplyLimit limit;
  double limit_per_s; /**< requests per second that the server takes from all fronts together, with
                         REPLY_LIMIT_NAMED */
  ReplyLimit brittle;
  double brittle_per_s; /**< requests per second that the server can turn away without falling over,
                           with REPLY_LIMIT_NAMED */
  int confidence;       /**< the model's confidence in its answer, 0 to 100; -1: not given */
  Span request_id;      /**< id of the request that is answered */
  Span served_by;       /**< the server's id, if another front served the request; else absent */
} ReplyInfo;

#endif
