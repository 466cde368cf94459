/**
 * Sends a long request in its own thread. neon has no send time-out: a frozen peer whose kernel
 * still acknowledges would block the sender forever once the socket buffers are full. Here the
 * caller stops waiting after a bounded time without progress, and the abandoned thread ends when
 * its connection does.
 */
#ifndef HTTP_UPLOAD_H
#define HTTP_UPLOAD_H

#include "http_exchange.h"

/** Largest body, in bytes, that fits into the socket buffers of a new connection even if the peer
 * does not read, so that the caller's thread can send it without blocking. */
#define HTTP_UPLOAD_INLINE_MAX ((size_t)16 * 1024)

/**
 * Runs ne_begin_request in a thread and stores its result in *result. may_finish is called in the
 * calling thread. False: the thread was abandoned after stall_timeout_ms without progress and will
 * free the exchange; *finished is then true if the end of the request may have been sent.
 */
bool http_upload_run (HttpExchange *x, int stall_timeout_ms, int *result, bool *finished);

/** Called by the body provider in the upload thread for each block: resets the stall time-out. */
void http_upload_progress (HttpUpload *upload);
/** Called by the body provider: whether the last byte may be sent. False if the upload is abandoned
 *  before the decision. */
bool http_upload_may_finish (HttpUpload *upload);

#endif
