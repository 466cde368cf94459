#include "http_client.h"
#include "http_exchange.h"
#include "http_neon.h"
#include "http_upload.h"
#include "util_clock.h"
#include "util_memory.h"
#include <ne_ssl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Final status codes that HTTP has. */
#define HTTP_STATUS_FINAL_MIN 200
#define HTTP_STATUS_MAX       599
#define READ_BLOCK_SIZE       16384 /* bytes */
/* By how much the stall time-out of an upload exceeds neon's own time-outs. */
#define UPLOAD_MARGIN_MS 1000

static bool
has_no_control_chars (const char *s)
{
  for (; *s; s++)
    if ((unsigned char)*s < 0x20 || *s == 0x7f)
      return false;
  return true;
}

/* A line break in a header, the method or the path would allow request smuggling. */
static bool
is_sendable (const HttpRequest *request)
{
  if (!has_no_control_chars (request->method) || strchr (request->method, ' '))
    return false;
  if (!has_no_control_chars (request->path) || strchr (request->path, ' ')
      || request->path[0] != '/')
    return false;
  for (size_t i = 0; i < request->header_count; i++)
    if (!has_no_control_chars (request->headers[i].name)
        || !has_no_control_chars (request->headers[i].value)
        || strpbrk (request->headers[i].name, ": "))
      return false;
  return true;
}

/* Calls may_finish to decide whether the request may be completed. A refusal is final. */
static bool
check_may_finish (HttpExchange *x)
{
  if (x->upload)
    x->refused = !http_upload_may_finish (x->upload);
  else if (!x->refused && x->may_finish && !x->may_finish (x->context))
    x->refused = true;
  if (x->refused)
    ne_set_error (x->session, "given up before the request's end was sent");
  return !x->refused;
}

/*
 * Body provider for neon. neon writes each block to the connection before it requests the next one,
 * so providing the last byte separately ensures that everything before it has been sent when
 * may_finish is called.
 */
static ssize_t
provide_body (void *userdata, char *buffer, size_t size)
{
  HttpExchange *x = userdata;
  if (size == 0)
    {
      x->body_sent = 0;
      return 0;
    }
  size_t left = x->body_len - x->body_sent;
  if (left <= 1 && !x->finished)
    {
      if (!check_may_finish (x))
        return -1;
      x->finished = true;
    }
  if (left == 0)
    {
      x->body_written = true;
      return 0;
    }
  size_t n = left == 1 ? 1 : left - 1;
  if (n > size)
    n = size;
  memcpy (buffer, x->body + x->body_sent, n);
  x->body_sent += n;
  if (x->upload)
    http_upload_progress (x->upload);
  return (ssize_t)n;
}

static void
on_session_status (void *userdata, ne_session_status status, const ne_session_status_info *info)
{
  (void)info;
  HttpExchange *x = userdata;
  if (status == ne_status_connected)
    x->connected = true;
}

static int
refuse_certificate (void *userdata, int failures, const ne_ssl_certificate *cert)
{
  (void)failures;
  (void)cert;
  HttpExchange *x = userdata;
  x->untrusted = true;
  return -1;
}

static bool
trust_file (HttpExchange *x, const char *file, Status *st)
{
  ne_ssl_certificate *cert = file ? ne_ssl_cert_read (file) : NULL;
  if (!cert)
    {
      status_set (st, STATUS_INVALID, "http.tls", x->peer, "can't read the trusted certificate");
      return false;
    }
  ne_ssl_trust_cert (x->session, cert);
  ne_ssl_set_verify (x->session, refuse_certificate, x);
  ne_ssl_cert_free (cert);
  return true;
}

static HttpExchange *
exchange_new (const HttpRequest *request)
{
  HttpExchange *x = memory_alloc (sizeof *x);
  snprintf (x->peer, sizeof x->peer, "%s:%d", request->address, request->port);
  x->body = request->body;
  x->body_len = request->body_len;
  x->may_finish = request->may_finish;
  x->context = request->context;
  x->answer_max = request->answer_max;
  x->no_body = strcmp (request->method, "HEAD") == 0;
  if (request->total_timeout_ms > 0)
    x->end_ms = clock_boot_ms () + request->total_timeout_ms;
  x->session = ne_session_create (request->tls ? "https" : "http", request->address,
                                  (unsigned)request->port);
  ne_set_session_flag (x->session, NE_SESSFLAG_PERSIST, 0);
  ne_set_connect_timeout (x->session, http_neon_seconds (request->connect_timeout_ms));
  ne_set_read_timeout (x->session, http_neon_seconds (request->read_timeout_ms));
  ne_set_notifier (x->session, on_session_status, x);
  return x;
}

static bool
has_body (const HttpRequest *request)
{
  if (request->body_len > 0)
    return true;
  return request->may_finish && strcmp (request->method, "GET") != 0
         && strcmp (request->method, "HEAD") != 0;
}

static void
prepare_request (HttpExchange *x, const HttpRequest *request)
{
  x->request = ne_request_create (x->session, request->method, request->path);
  ne_set_request_flag (x->request, NE_REQFLAG_IDEMPOTENT, 0);
  for (size_t i = 0; i < request->header_count; i++)
    ne_add_request_header (x->request, request->headers[i].name, request->headers[i].value);
  if (request->body_len > 0)
    ne_set_request_body_provider (x->request, (ne_off_t)request->body_len, provide_body, x);
  else if (has_body (request))
    ne_set_request_body_provider (x->request, -1, provide_body, x);
  else if (strcmp (request->method, "GET") != 0 && strcmp (request->method, "HEAD") != 0)
    ne_set_request_body_buffer (x->request, "", 0);
}

/* False if the peer can't have the whole request. The end of a body without bytes is a chunk, whose
 * writing isn't observed. */
static bool
may_be_complete (const HttpExchange *x, bool with_body)
{
  if (!with_body)
    return true;
  return x->body_len > 0 ? x->body_written : x->finished;
}

/* Status code of a request without an answer's head: whether it may have been executed. */
static StatusCode
code_without_answer (const HttpExchange *x, bool with_body)
{
  if (x->refused || x->untrusted || !x->connected || !may_be_complete (x, with_body))
    return STATUS_UNAVAILABLE;
  return STATUS_UNKNOWN;
}

/* The upload thread may outlive the caller's body, so it uses a copy. */
static void
copy_body (HttpExchange *x)
{
  x->body_copy = memory_alloc (x->body_len);
  memcpy (x->body_copy, x->body, x->body_len);
  x->body = x->body_copy;
}

/* Longer than neon's own time-outs for connecting and for the answer's head, so that those expire
 * first. */
static int
upload_stall_timeout_ms (const HttpRequest *request)
{
  int connect_s = http_neon_seconds (request->connect_timeout_ms);
  int read_s = http_neon_seconds (request->read_timeout_ms);
  return (connect_s > read_s ? connect_s : read_s) * 1000 + UPLOAD_MARGIN_MS;
}

static bool
has_status_of_http (const HttpExchange *x)
{
  int status = ne_get_status (x->request)->code;

  return status >= HTTP_STATUS_FINAL_MIN && status <= HTTP_STATUS_MAX;
}

StatusCode
http_exchange_begin (const HttpRequest *request, HttpExchange **out, Status *st)
{
  bool with_body = has_body (request);
  *out = NULL;
  http_neon_start ();
  if (!is_sendable (request))
    return status_set (st, STATUS_INVALID, "http.begin", request->address,
                       "method, path or header can't be sent");
  HttpExchange *x = exchange_new (request);
  if (request->tls && !trust_file (x, request->trust_file, st))
    {
      http_exchange_free (x);
      return STATUS_INVALID;
    }
  prepare_request (x, request);
  int result = NE_ERROR;
  if (request->body_len > HTTP_UPLOAD_INLINE_MAX)
    {
      bool finished;
      copy_body (x);
      if (!http_upload_run (x, upload_stall_timeout_ms (request), &result, &finished))
        return status_set (st, finished ? STATUS_UNKNOWN : STATUS_UNAVAILABLE, "http.begin",
                           request->address, "the peer does not read the request");
    }
  else if (with_body || check_may_finish (x))
    result = ne_begin_request (x->request);
  if (result != NE_OK)
    {
      StatusCode code = code_without_answer (x, with_body);
      status_set (st, code, "http.begin", x->peer, "%s", ne_get_error (x->session));
      http_exchange_free (x);
      return code;
    }
  if (!has_status_of_http (x))
    {
      status_set (st, STATUS_UNKNOWN, "http.begin", x->peer, "the answer has the status %d",
                  ne_get_status (x->request)->code);
      http_exchange_free (x);
      return STATUS_UNKNOWN;
    }
  *out = x;
  return status_ok (st);
}

int
http_exchange_status (const HttpExchange *exchange)
{
  return ne_get_status (exchange->request)->code;
}

const char *
http_exchange_header (const HttpExchange *exchange, const char *name)
{
  return ne_get_response_header (exchange->request, name);
}

/* Without a length or chunked framing, a complete answer cannot be distinguished from a truncated
 * one. */
static bool
has_framed_body (const HttpExchange *x)
{
  int status = http_exchange_status (x);
  if (x->no_body || status == 204 || status == 304)
    return true;
  if (http_exchange_header (x, "Content-Length"))
    return true;
  const char *coding = http_exchange_header (x, "Transfer-Encoding");
  return coding && strcasecmp (coding, "chunked") == 0;
}

long
http_exchange_read (HttpExchange *exchange, char *data, size_t len, Status *st)
{
  HttpExchange *x = exchange;
  if (x->end_ms && clock_boot_ms () > x->end_ms)
    {
      status_set (st, STATUS_UNKNOWN, "http.read", x->peer, "the answer took too long");
      return -1;
    }
  ssize_t n = ne_read_response_block (x->request, data, len);
  if (n < 0)
    {
      status_set (st, STATUS_UNKNOWN, "http.read", x->peer, "%s", ne_get_error (x->session));
      return -1;
    }
  if (n == 0 && !has_framed_body (x))
    {
      status_set (st, STATUS_UNKNOWN, "http.read", x->peer, "the answer has no proper end");
      return -1;
    }
  x->answer_len += (size_t)n;
  if (x->answer_max && x->answer_len > x->answer_max)
    {
      status_set (st, STATUS_UNKNOWN, "http.read", x->peer, "the answer is longer than %zu bytes",
                  x->answer_max);
      return -1;
    }
  return (long)n;
}

void
http_exchange_free (HttpExchange *exchange)
{
  if (!exchange)
    return;
  if (exchange->request)
    ne_request_destroy (exchange->request);
  ne_session_destroy (exchange->session);
  free (exchange->body_copy);
  free (exchange);
}

StatusCode
http_call (const HttpRequest *request, int *http_status, Buffer *answer, Status *st)
{
  HttpExchange *x;
  StatusCode code = http_exchange_begin (request, &x, st);
  if (!x)
    return code;
  *http_status = http_exchange_status (x);
  char block[READ_BLOCK_SIZE];
  long n;
  while ((n = http_exchange_read (x, block, sizeof block, st)) > 0)
    buffer_add (answer, block, (size_t)n);
  http_exchange_free (x);
  return n < 0 ? STATUS_UNKNOWN : status_ok (st);
}
