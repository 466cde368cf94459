/*
 * load-stream: sends concurrent streamed requests to a gate or an engine and measures the times of
 * their answers. Closed loop (default): each stream starts its next request when its last one has
 * ended. Open loop (--rate): requests arrive by a seeded Poisson process, and their times count
 * from the arrival, even if all streams were busy then.
 */
#include "load_call.h"
#include "load_stats.h"
#include "util_buffer.h"
#include "util_clock.h"
#include "util_memory.h"
#include <argp.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STACK_SIZE   ((size_t)512 * 1024) /* bytes, of each stream's thread */
#define GAPS_MAX     ((size_t)4000000)    /* samples kept */
#define STATUSES_MAX 600                  /* HTTP statuses below it are counted */

typedef struct
{
  const char *address;
  int port;
  const char *key;
  const char *model;
  unsigned streams;
  unsigned requests;
  unsigned tokens;
  unsigned prompt_bytes;
  double rate; /* requests per second; 0: closed loop */
  unsigned long seed;
  int timeout_ms;
} Options;

typedef struct
{
  Options options;
  char *prompt;
  pthread_mutex_t lock;
  unsigned next;                   /* number of the next request */
  unsigned results[LOAD_RESULTS];  /* requests by result */
  unsigned statuses[STATUSES_MAX]; /* requests by HTTP status */
  unsigned open;                   /* requests in progress */
  unsigned open_max;
  int64_t started_us;
  int64_t arrival_us; /* of the latest request, relative to started_us */
  gsl_rng *random;
  LoadSamples first; /* ms to the first event */
  LoadSamples gap;   /* ms between events */
  LoadSamples whole; /* ms to the last event */
} Load;

enum
{
  OPTION_KEY = 256,
  OPTION_MODEL,
  OPTION_STREAMS,
  OPTION_REQUESTS,
  OPTION_TOKENS,
  OPTION_PROMPT_BYTES,
  OPTION_RATE,
  OPTION_SEED,
  OPTION_TIMEOUT_MS
};

static const struct argp_option option_list[]
    = { { "address", 'a', "IP", 0, "of the gate or engine", 0 },
        { "port", 'p', "PORT", 0, "of the gate or engine", 0 },
        { "key", OPTION_KEY, "KEY", 0, "team key, sent as bearer credentials", 0 },
        { "model", OPTION_MODEL, "NAME", 0, "model of each request", 0 },
        { "streams", OPTION_STREAMS, "N", 0, "maximum of requests open at once", 0 },
        { "requests", OPTION_REQUESTS, "N", 0, "requests in total", 0 },
        { "tokens", OPTION_TOKENS, "N", 0, "tokens of each answer", 0 },
        { "prompt-bytes", OPTION_PROMPT_BYTES, "N", 0, "approximate length of each prompt", 0 },
        { "rate", OPTION_RATE, "R", 0, "open loop, R requests per second on average", 0 },
        { "seed", OPTION_SEED, "N", 0, "of the arrival times", 0 },
        { "timeout-ms", OPTION_TIMEOUT_MS, "T", 0, "time without input that ends a request", 0 },
        { 0 } };

static unsigned
parse_number (const char *arg, struct argp_state *state)
{
  char *end;
  long n = strtol (arg, &end, 10);
  if (end == arg || *end || n < 0)
    argp_error (state, "not a non-negative integer: %s", arg);
  return (unsigned)n;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  Options *o = state->input;
  switch (key)
    {
    case 'a':
      o->address = arg;
      return 0;
    case 'p':
      o->port = (int)parse_number (arg, state);
      return 0;
    case OPTION_KEY:
      o->key = arg;
      return 0;
    case OPTION_MODEL:
      o->model = arg;
      return 0;
    case OPTION_STREAMS:
      o->streams = parse_number (arg, state);
      return 0;
    case OPTION_REQUESTS:
      o->requests = parse_number (arg, state);
      return 0;
    case OPTION_TOKENS:
      o->tokens = parse_number (arg, state);
      return 0;
    case OPTION_PROMPT_BYTES:
      o->prompt_bytes = parse_number (arg, state);
      return 0;
    case OPTION_RATE:
      o->rate = strtod (arg, NULL);
      return 0;
    case OPTION_SEED:
      o->seed = parse_number (arg, state);
      return 0;
    case OPTION_TIMEOUT_MS:
      o->timeout_ms = (int)parse_number (arg, state);
      return 0;
    case ARGP_KEY_END:
      if (!o->port || !o->model)
        argp_error (state, "--port and --model are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Gets the next request's number and arrival time; false if all requests have been started. */
static bool
next_request (Load *load, unsigned *number_out, int64_t *arrival_us)
{
  pthread_mutex_lock (&load->lock);
  bool available = load->next < load->options.requests;
  if (available)
    {
      *number_out = load->next++;
      if (load->options.rate > 0)
        load->arrival_us += (int64_t)gsl_ran_exponential (load->random, 1e6 / load->options.rate);
      *arrival_us = load->started_us + load->arrival_us;
    }
  pthread_mutex_unlock (&load->lock);
  return available;
}

static void
change_open (Load *load, int delta)
{
  pthread_mutex_lock (&load->lock);
  load->open = (unsigned)((int)load->open + delta);
  if (load->open > load->open_max)
    load->open_max = load->open;
  pthread_mutex_unlock (&load->lock);
}

static void
record_answer (Load *load, const LoadAnswer *answer, int64_t from_us)
{
  pthread_mutex_lock (&load->lock);
  load->results[answer->result]++;
  if (answer->http_status >= 0 && answer->http_status < STATUSES_MAX)
    load->statuses[answer->http_status]++;
  pthread_mutex_unlock (&load->lock);
  if (answer->result != LOAD_WHOLE)
    return;
  double first_ms = (double)(answer->first_us - from_us) / 1000;
  double whole_ms = (double)(answer->end_us - from_us) / 1000;
  load_samples_add (&load->first, &first_ms, 1);
  load_samples_add (&load->whole, &whole_ms, 1);
  load_samples_add (&load->gap, answer->gaps, answer->gap_count);
}

static void
run_request (Load *load, unsigned n, int64_t arrival_us, LoadAnswer *answer)
{
  const Options *o = &load->options;
  char authorization[256];
  Buffer body = { 0 };
  snprintf (authorization, sizeof authorization, "Bearer %s", o->key ? o->key : "");
  buffer_printf (&body,
                 "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%u,\"messages\":[{\"role\":"
                 "\"user\",\"content\":\"[id=load-%lu-%u] %s\"}]}",
                 o->model, o->tokens, o->seed, n, load->prompt);
  const HttpHeader headers[]
      = { { "Content-Type", "application/json" }, { "Authorization", authorization } };
  const HttpRequest request = { .method = "POST",
                                .address = o->address,
                                .port = o->port,
                                .path = "/v1/chat/completions",
                                .headers = headers,
                                .header_count = o->key ? 2 : 1,
                                .body = body.data,
                                .body_len = body.len,
                                .connect_timeout_ms = o->timeout_ms,
                                .read_timeout_ms = o->timeout_ms };
  change_open (load, 1);
  load_call (&request, o->tokens, answer);
  change_open (load, -1);
  record_answer (load, answer, arrival_us);
  buffer_free (&body);
}

static void *
run_stream (void *context)
{
  Load *load = context;
  LoadAnswer *answer = memory_alloc (sizeof *answer);
  unsigned n;
  int64_t arrival_us;
  while (next_request (load, &n, &arrival_us))
    {
      int64_t now_us = clock_boot_us ();
      if (load->options.rate > 0 && arrival_us > now_us)
        clock_sleep_ms ((arrival_us - now_us + 999) / 1000);
      run_request (load, n, load->options.rate > 0 ? arrival_us : clock_boot_us (), answer);
    }
  free (answer);
  return NULL;
}

static void
run_streams (Load *load)
{
  pthread_attr_t attr;
  pthread_t *threads = memory_array (load->options.streams, sizeof *threads);
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, STACK_SIZE);
  load->started_us = clock_boot_us ();
  for (unsigned i = 0; i < load->options.streams; i++)
    if (pthread_create (&threads[i], &attr, run_stream, load) != 0)
      {
        fprintf (stderr, "load-stream: no thread available for stream %u\n", i);
        exit (EXIT_FAILURE);
      }
  for (unsigned i = 0; i < load->options.streams; i++)
    pthread_join (threads[i], NULL);
  pthread_attr_destroy (&attr);
  free (threads);
}

static void
print_load (Load *load)
{
  double seconds = (double)(clock_boot_us () - load->started_us) / 1e6;
  printf ("requests %u\n", load->options.requests);
  for (int i = 0; i < LOAD_RESULTS; i++)
    printf ("%s %u\n", load_result_name ((LoadResult)i), load->results[i]);
  for (int i = 1; i < STATUSES_MAX; i++)
    if (load->statuses[i])
      printf ("http_%d %u\n", i, load->statuses[i]);
  printf ("open_max %u\n", load->open_max);
  printf ("seconds %.3f\n", seconds);
  printf ("requests_per_s %.1f\n", load->options.requests / seconds);
  load_samples_print (&load->first, "first_ms");
  load_samples_print (&load->gap, "gap_ms");
  load_samples_print (&load->whole, "whole_ms");
}

static char *
make_prompt (unsigned bytes)
{
  char *prompt = memory_alloc ((size_t)bytes + 1);
  for (unsigned i = 0; i < bytes; i++)
    prompt[i] = i % 6 == 5 ? ' ' : (char)('a' + i % 26);
  return prompt;
}

int
main (int argc, char **argv)
{
  const struct argp argp
      = { .options = option_list,
          .parser = parse_option,
          .doc = "Sends many streamed requests at once and prints their times in ms." };
  Load load = { .options = { .address = "127.0.0.1",
                             .streams = 1,
                             .requests = 1,
                             .tokens = 32,
                             .prompt_bytes = 400,
                             .seed = 1,
                             .timeout_ms = 60000 } };
  argp_parse (&argp, argc, argv, 0, NULL, &load.options);
  signal (SIGPIPE, SIG_IGN);
  pthread_mutex_init (&load.lock, NULL);
  load.random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (load.random, load.options.seed);
  load.prompt = make_prompt (load.options.prompt_bytes);
  load_samples_init (&load.first, load.options.requests);
  load_samples_init (&load.whole, load.options.requests);
  load_samples_init (&load.gap, GAPS_MAX);
  run_streams (&load);
  print_load (&load);
  load_samples_free (&load.first);
  load_samples_free (&load.whole);
  load_samples_free (&load.gap);
  gsl_rng_free (load.random);
  free (load.prompt);
  return load.results[LOAD_WHOLE] == load.options.requests ? EXIT_SUCCESS : EXIT_FAILURE;
}
