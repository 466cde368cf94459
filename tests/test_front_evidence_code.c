/** Evidence in messages: src/front_evidence_code.c. */
#include "front_evidence.h"
#include "front_evidence_code.h"
#include "suite.h"
#include <string.h>

#define PREDICTED_MS 60.0

static EvidenceAnswer
answer_of (EvidenceSide side, unsigned route, bool failed, double first_ms)
{
  return (EvidenceAnswer){ .side = side,
                           .route = route,
                           .failed = failed,
                           .first_ms = first_ms,
                           .predicted_ms = PREDICTED_MS };
}

static void
add (FrontEvidence *evidence, EvidenceSide side, unsigned route, bool failed, double first_ms)
{
  EvidenceAnswer answer = answer_of (side, route, failed, first_ms);

  front_evidence_add (evidence, &answer);
}

static void
add_answers (FrontEvidence *evidence, unsigned route, unsigned bad, unsigned good, bool slow)
{
  for (unsigned i = 0; i < bad; i++)
    add (evidence, EVIDENCE_NEW, route, !slow, slow ? 900 : 50);
  for (unsigned i = 0; i < good; i++)
    add (evidence, EVIDENCE_NEW, route, false, 70);
  for (unsigned i = 0; i < 200; i++)
    add (evidence, EVIDENCE_OLD, route, i % 50 == 0, 70);
}

static void
test_encoding_survives_round_trip (void)
{
  FrontEvidence in = { 0 }, out;
  unsigned char code[EVIDENCE_CODE_MAX];
  size_t len;

  CU_ASSERT_EQUAL (front_evidence_encode (&in, code), 2);
  memset (&in, 0xff, sizeof in);
  in.counts[EVIDENCE_NEW][2].answers = 128;
  in.counts[EVIDENCE_NEW][2].delays[0] = 0;
  len = front_evidence_encode (&in, code);
  CU_ASSERT (len <= sizeof code);
  CU_ASSERT (front_evidence_decode (&out, code, len));
  CU_ASSERT_EQUAL (memcmp (&in, &out, sizeof in), 0);
}

/* Guards against losing the pace of streams between fronts: no answer is counted with it. */
static void
test_paces_reach_other_fronts (void)
{
  FrontEvidence in = { 0 }, out;
  EvidencePace pace = { .side = EVIDENCE_NEW, .server = 3, .gap_ms = 90, .usual_ms = 30 };
  unsigned char code[EVIDENCE_CODE_MAX];

  front_evidence_add_pace (&in, &pace);
  CU_ASSERT (front_evidence_decode (&out, code, front_evidence_encode (&in, code)));
  CU_ASSERT_EQUAL (memcmp (&in, &out, sizeof in), 0);
}

static void
test_bad_encodings_are_refused (void)
{
  FrontEvidence in = { 0 }, out;
  unsigned char code[EVIDENCE_CODE_MAX + 1];
  size_t len;
  /* A count of more than 32 bits, and a class of delay that doesn't exist. */
  static const unsigned char large[] = { 1, 0, 0xff, 0xff, 0xff, 0xff, 0x7f, 0, 0, 0, 0, 0, 0, 0 };
  static const unsigned char unknown[] = { 1, 0, 1, 0, 0, 0x80, 0, 0, 0, 0 };

  add_answers (&in, 3, 2, 300, true);
  len = front_evidence_encode (&in, code);
  for (size_t shorter = 0; shorter < len; shorter++)
    CU_ASSERT (!front_evidence_decode (&out, code, shorter));
  code[len] = 0;
  CU_ASSERT (!front_evidence_decode (&out, code, len + 1));
  CU_ASSERT (!front_evidence_decode (&out, large, sizeof large));
  CU_ASSERT (!front_evidence_decode (&out, unknown, sizeof unknown));
}

static const SuiteCase cases[] = {
  { "encoding_survives_round_trip", test_encoding_survives_round_trip },
  { "paces_reach_other_fronts", test_paces_reach_other_fronts },
  { "bad_encodings_are_refused", test_bad_encodings_are_refused },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "front_evidence_code", cases, SUITE_COUNT (cases));
}
