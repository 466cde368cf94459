/**
 * Sends a long request in a thread of its own. neon has no timeout for sending: a peer that is
 * frozen but still acknowledges would hold the sender for ever once the kernel's buffers are full.
 * Here the caller goes on after a bounded silence, and the thread ends when the connection does.
 */
#ifndef HTTP_UPLOAD_H
#define HTTP_UPLOAD_H

#include "http_exchange.h"

/** Longest body that fits into the buffers of a fresh connection whatever the peer does, so that
 *  sending it can't block. */
#define HTTP_UPLOAD_INLINE_MAX ((size_t)16 * 1024)

/**
 * Runs ne_begin_request; *result is its result. may_finish is asked in the calling thread. False:
 * the thread was left behind after silence_ms without progress and will free the exchange; only
 * *finished says whether the request's end may have been sent.
 */
bool http_upload_run (HttpExchange *x, int silence_ms, int *result, bool *finished);

/** For the provider of the body, in the upload's thread: bytes were taken. */
void http_upload_progress (HttpUpload *upload);
/** For the provider of the body: may the last byte be sent? False for good after it was left. */
bool http_upload_may_finish (HttpUpload *upload);

#endif
