/**
 * One attempt to send a request to one backend server, or to another front. It has a connection of
 * its own, so neither late bytes of an earlier answer nor an idle connection that the server is
 * closing can interfere; where front_keeps_connections, requests that may run again use kept ones.
 */
#ifndef FRONT_ATTEMPT_H
#define FRONT_ATTEMPT_H

#include "front.h"
#include "http_reply.h"

typedef struct FrontAttempt FrontAttempt;

/** Milliseconds to open a connection. A reachable server needs about 5; a lost packet costs a
 *  second, and then another server is the better choice. */
#define FRONT_CONNECT_TIMEOUT_MS 350

/** Callbacks from the event loop. Each may free the attempt; none is called after that. */
typedef struct
{
  /** The connection is open; the request is being sent and may run from here on. Not called for a
   *  kept connection, on which it is sent at once. */
  void (*sent) (void *user);
  /** The head of the answer has arrived; the rest may be missing or spoiled. Must not free the
   *  attempt. */
  void (*head) (void *user);
  /** More of the answer has arrived, or it is complete. */
  void (*progress) (void *user);
  /** The connection ended before the answer was complete, or the bytes are no valid answer. */
  void (*cut) (void *user);
} AttemptCallbacks;

/** Where an attempt goes. */
typedef struct
{
  const struct sockaddr_in *address;
  FrontServer *server; /**< at that address; NULL: another front */
  bool may_use_kept;   /**< a connection that the server may be closing will do */
} AttemptTarget;

/** Takes over head's buffer; body must outlive the attempt. NULL if no connection can be
 *  started. */
FrontAttempt *front_attempt_start (Front *front,
                                   const AttemptTarget *target,
                                   Buffer *head,
                                   const Buffer *body,
                                   const AttemptCallbacks *callbacks,
                                   void *user);
/** Sends the attempt's callbacks elsewhere from now on, with the same user. */
void front_attempt_set_callbacks (FrontAttempt *attempt, const AttemptCallbacks *callbacks);
/** Closes the connection at once, unless it is kept; a server stops working on a request whose
 *  connection is closed. */
void front_attempt_free (FrontAttempt *attempt);
/** The answer as far as it has arrived; valid until the attempt is freed. */
HttpReply *front_attempt_reply (FrontAttempt *attempt);
/** True once bytes of the request may have reached the server. */
bool front_attempt_is_sent (const FrontAttempt *attempt);
/** True if the answer was given up, for it is longer than an answer may be. */
bool front_attempt_is_too_long (const FrontAttempt *attempt);
/** True if the rest of the answer waits for memory. */
bool front_attempt_is_waiting (const FrontAttempt *attempt);
/** True if the request was sent on a kept connection. */
bool front_attempt_is_kept (const FrontAttempt *attempt);
/** The complete answer is a success of the server's own to this request: the connection may be
 *  kept. */
void front_attempt_set_believed (FrontAttempt *attempt);
/** The user of the attempt whose answer was the last to wait for memory; NULL: none waits. */
void *front_attempts_last_waiting (Front *front);
/** Reads on answers that wait for memory, as far as there is some. */
void front_attempts_resume (Front *front);
/** Pauses or resumes reading, for a caller that is slower than the server. */
void front_attempt_pause (FrontAttempt *attempt, bool pause);

#endif
