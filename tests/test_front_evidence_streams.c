/** What the paces of two versions' streams show: src/front_evidence.c. */
#include "front_evidence.h"
#include "suite.h"
#include <gsl/gsl_randist.h>
#include <math.h>

#define ROUTES       5
#define NEW_SHARE    0.08  /* of the requests go to the new version */
#define BAD_MAX      50    /* answers that a bad version may give until it is found */
#define ANSWERS      20000 /* of both versions in a simulation: minutes of a busy service */
#define SERVERS      8
#define OLD_GAP_MS   28.0 /* median time between two events of the old version's streams */
#define UNNOTICED_MS 75.0 /* added to the prediction */
#define READER_MAX   300  /* answers of a version that reads slowly until it is found */
#define READ_MS      4.0  /* median time to read a prompt */

/* A service of model engines whose prompts are short. Answers begin 55 ms after sending plus the
 * time to read the prompt, and the prediction has what callers don't notice on top, which hides a
 * slow reading. The gaps between events vary with the load of the engines. */
typedef struct
{
  double read_factor;    /* the new version takes so many times as long to read as predicted */
  double gap_ms;         /* median of the new version's streams; the old one's is OLD_GAP_MS */
  unsigned slow_servers; /* of the new version's SERVERS, with streams four times as slow */
} Streams;

/* Number of the new version's answers when it is found bad; -1: it isn't. */
static int
streams_until_bad (const Streams *streams, unsigned long seed)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_mt19937);
  FrontEvidence evidence = { 0 };
  int answers = 0, found = -1;

  gsl_rng_set (random, seed);
  for (unsigned i = 0; i < ANSWERS / 4 && found < 0; i++)
    {
      bool is_new = gsl_rng_uniform (random) < NEW_SHARE;
      double read_ms = gsl_ran_lognormal (random, log (READ_MS), 0.8);
      uint64_t server = gsl_rng_get (random) % SERVERS;
      bool is_slow = is_new && server < streams->slow_servers;
      EvidenceAnswer answer = { .side = is_new ? EVIDENCE_NEW : EVIDENCE_OLD,
                                .route = gsl_rng_get (random) % ROUTES,
                                .server = server,
                                .first_ms = 55 + read_ms * (is_new ? streams->read_factor : 0.7),
                                .predicted_ms = 55 + read_ms + UNNOTICED_MS };
      EvidencePace pace
          = { .side = answer.side,
              .server = server,
              .gap_ms = (is_new ? streams->gap_ms : OLD_GAP_MS)
                        * gsl_ran_lognormal (random, 0, is_new ? 0.2 : 0.4) * (is_slow ? 4 : 1),
              .usual_ms = OLD_GAP_MS };

      EvidenceReading reading = { .side = answer.side,
                                  .server = server,
                                  .read_ms = (answer.first_ms - 55) * (is_slow ? 4 : 1),
                                  .predicted_ms = read_ms };

      answers += is_new;
      front_evidence_add (&evidence, &answer);
      front_evidence_add_reading (&evidence, &reading);
      /* Half of the streams are too short to be measured. */
      if (gsl_rng_uniform (random) < 0.5)
        front_evidence_add_pace (&evidence, &pace);
      if (is_new && front_evidence_is_bad (&evidence, EVIDENCE_CERTAIN))
        found = answers;
    }
  gsl_rng_free (random);
  return found;
}

/* Failure: a version of model engines reads and generates several times as slowly, while prompts
 * are short, so that its answers begin a few hundredths of a second late, which nobody notices, and
 * fronts found one late in a hundred. It must be found by its first fifty answers. One that only
 * reads slowly must be found, too, though few of its prompts are long enough to tell. */
static void
test_slow_streams_of_short_prompts_are_found (void)
{
  for (unsigned long seed = 1; seed <= 50; seed++)
    {
      Streams slow = { .read_factor = 4, .gap_ms = 63 };
      Streams slow_reader = { .read_factor = 4, .gap_ms = 20 };
      int of_slow = streams_until_bad (&slow, seed);
      int of_reader = streams_until_bad (&slow_reader, seed);

      CU_ASSERT (of_slow > 0 && of_slow <= BAD_MAX);
      CU_ASSERT (of_reader > 0 && of_reader <= READER_MAX);
    }
}

/* Guards against the opposite: a good version, whose engines are idle and whose answers begin a
 * little later than the old one's; one of which some servers are slow. */
static void
test_good_streams_are_not_found_slow (void)
{
  for (unsigned long seed = 1; seed <= 50; seed++)
    {
      Streams good = { .read_factor = 1.2, .gap_ms = 20 };
      Streams as_fast = { .read_factor = 1.2, .gap_ms = OLD_GAP_MS };
      Streams some = { .read_factor = 1.2, .gap_ms = 20, .slow_servers = 3 };

      CU_ASSERT_EQUAL (streams_until_bad (&good, seed), -1);
      CU_ASSERT_EQUAL (streams_until_bad (&as_fast, seed), -1);
      CU_ASSERT_EQUAL (streams_until_bad (&some, seed), -1);
    }
}

static const SuiteCase cases[] = {
  { "slow_streams_of_short_prompts_are_found", test_slow_streams_of_short_prompts_are_found },
  { "good_streams_are_not_found_slow", test_good_streams_are_not_found_slow },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_evidence_streams", cases, SUITE_COUNT (cases));
}
