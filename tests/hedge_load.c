#include "hedge_load.h"
#include "suite.h"
#include <stdlib.h>

static HedgeForecast
forecast (void *user)
{
  return ((HedgeLoad *)user)->forecast;
}

static bool
take_budget (void *user)
{
  HedgeLoad *load = user;

  load->budget_taken += !load->budget_is_empty;
  return !load->budget_is_empty;
}

HedgeLoad *
hedge_load_new (double share)
{
  HedgeLoad *load = calloc (1, sizeof *load);

  load->hedge = front_hedge_new (1);
  front_hedge_set_share (load->hedge, share);
  load->kind = (HedgeKind){ .service = "ledger", .route = 7 };
  load->forecast = (HedgeForecast){ .has_server = true };
  return load;
}

void
hedge_load_free (HedgeLoad *load)
{
  front_hedge_free (load->hedge);
  free (load);
}

HedgeCase
hedge_load_case (HedgeLoad *load, double elapsed_ms)
{
  return (HedgeCase){
    .kind = load->kind,
    .objective_ms = HEDGE_LOAD_OBJECTIVE_MS,
    .is_idempotent = true,
    .has_attempts = true,
    .elapsed_ms = elapsed_ms,
    .remaining_ms = 1000,
    .forecast = forecast,
    .take_budget = take_budget,
    .user = load,
  };
}

static void
send (HedgeLoad *load, int64_t now_ms, int64_t takes_ms)
{
  CU_ASSERT_FATAL (load->count < HEDGE_LOAD_MAX);
  load->running[load->count].sent_ms = now_ms;
  load->running[load->count++].takes_ms = takes_ms;
  front_hedge_count_request (load->hedge, load->kind.service, now_ms);
}

/* The i-th request may be late. */
static void
consider (HedgeLoad *load, unsigned i, int64_t now_ms)
{
  double elapsed_ms = (double)(now_ms - load->running[i].sent_ms);
  HedgeCase c = hedge_load_case (load, elapsed_ms);
  HedgeVerdict verdict;

  if (load->running[i].decided || elapsed_ms < load->running[i].due_ms)
    return;
  verdict = front_hedge_decide (load->hedge, &c, now_ms);
  load->running[i].verdict = verdict;
  if (verdict == HEDGE_TOO_EARLY)
    return;
  if (load->running[i].is_timed)
    front_hedge_replace (load->hedge, &load->kind, load->running[i].number, elapsed_ms);
  else
    load->running[i].number = front_hedge_answered (load->hedge, &load->kind, elapsed_ms);
  load->running[i].is_timed = true;
  load->running[i].decided = !front_hedge_is_provisional (verdict);
  load->running[i].due_ms
      = elapsed_ms + front_hedge_again_ms (load->hedge, &load->kind, elapsed_ms);
}

/* Handles what happens to the requests in one millisecond. */
static void
step (HedgeLoad *load, int64_t now_ms)
{
  for (unsigned i = 0; i < load->count; i++)
    {
      int64_t elapsed_ms = now_ms - load->running[i].sent_ms;

      if (load->running[i].done)
        continue;
      if (elapsed_ms < load->running[i].takes_ms)
        {
          consider (load, i, now_ms);
          continue;
        }
      load->running[i].done = true;
      if (load->running[i].is_timed)
        front_hedge_replace (load->hedge, &load->kind, load->running[i].number, (double)elapsed_ms);
      else
        front_hedge_answered (load->hedge, &load->kind, (double)elapsed_ms);
    }
}

int64_t
hedge_load_run (HedgeLoad *load,
                int64_t from_ms,
                int64_t span_ms,
                int64_t interval_ms,
                int64_t (*takes) (unsigned))
{
  for (int64_t at_ms = from_ms; at_ms < from_ms + span_ms; at_ms++)
    {
      if ((at_ms - from_ms) % interval_ms == 0)
        send (load, at_ms, takes (load->count));
      step (load, at_ms);
    }
  return from_ms + span_ms;
}

unsigned
hedge_load_verdicts (const HedgeLoad *load, HedgeVerdict verdict, int64_t from_ms, int64_t to_ms)
{
  unsigned count = 0;

  for (unsigned i = 0; i < load->count; i++)
    count += load->running[i].is_timed && load->running[i].verdict == verdict
             && load->running[i].sent_ms >= from_ms && load->running[i].sent_ms < to_ms;
  return count;
}

unsigned
hedge_load_copies (const HedgeLoad *load, int64_t from_ms, int64_t to_ms)
{
  return hedge_load_verdicts (load, HEDGE_SEND, from_ms, to_ms);
}

int64_t
hedge_usual (unsigned i)
{
  return i % 50 == 49 ? (int64_t)6 * HEDGE_LOAD_USUAL_MS : 20 + (int64_t)(i * 7 % 20);
}

int64_t
hedge_slow (unsigned i)
{
  return HEDGE_LOAD_SLOW_MS + (int64_t)(i * 7 % 40);
}

int64_t
hedge_one_of_three_slow (unsigned i)
{
  return i % 3 == 0 ? HEDGE_LOAD_SLOW_MS : hedge_usual (i);
}
