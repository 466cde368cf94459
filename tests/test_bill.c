/**
 * Usage records: text and keys, the order of the fallbacks, one bill for each request.
 */
#include "bill_entry.h"
#include "claim_row.h"
#include "fake_gate.h"
#include "suite.h"
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
test_text_parses_to_the_same_record (void)
{
  BillRecord record = fake_bill (7);
  BillRecord back;
  char *text;

  snprintf (record.asked, sizeof record.asked, "a \"b\" \\ \n \xc3\xa9");
  text = bill_text (&record);
  CU_ASSERT_TRUE (bill_parse (text, &back));
  CU_ASSERT_STRING_EQUAL (back.key, record.key);
  CU_ASSERT_STRING_EQUAL (back.asked, record.asked);
  CU_ASSERT_EQUAL (back.outcome, BILL_ANSWERED);
  CU_ASSERT_EQUAL (back.at_ms, record.at_ms);
  CU_ASSERT_EQUAL_FATAL (back.attempt_count, 2);
  CU_ASSERT_STRING_EQUAL (back.attempts[1].version, "draft@v7");
  CU_ASSERT_EQUAL (back.attempts[0].prompt_tokens, 7);
  CU_ASSERT_EQUAL (back.attempts[1].cost, 7);
  free (text);
}

static void
test_invalid_text_is_rejected (void)
{
  BillRecord record;

  CU_ASSERT_FALSE (bill_parse ("", &record));
  CU_ASSERT_FALSE (bill_parse ("[]", &record));
  CU_ASSERT_FALSE (bill_parse ("{\"key\":\"k\"}", &record));
}

static void
test_only_retries_share_a_key (void)
{
  char a[BILL_KEY_MAX];
  char b[BILL_KEY_MAX];

  bill_key ("t1", "order-1", "r1", a);
  bill_key ("t1", "order-1", "r2", b);
  CU_ASSERT_STRING_EQUAL (a, b);
  bill_key ("t2", "order-1", "r1", b);
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
  bill_key ("t1", NULL, "r1", a);
  bill_key ("t1", NULL, "r2", b);
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
}

#define SPOOL_MAX (1U << 20)

typedef struct
{
  FakeSite site;
  FakeGate *gate;
} Fixture;

static void
fixture_init (Fixture *w)
{
  w->site = fake_site_new ();
  w->gate = fake_gate_new (&w->site, 1, SPOOL_MAX);
}

static void
fixture_free (Fixture *w)
{
  CU_ASSERT_EQUAL (fake_gate_free (w->gate, 30000), 0);
  fake_site_free (&w->site);
}

/* Each place stores the record if the earlier ones are down, and the record reaches the table in
 * the end. */
static void
test_fallbacks_are_tried_in_order (void)
{
  static const struct
  {
    unsigned down;
    BillPlace place;
  } cases[] = {
    { 0, BILL_AT_TABLE },
    { CALL_TXN, BILL_AT_OBJECT_STORE },
    { CALL_TXN | CALL_OBJECT_PUT, BILL_AT_REPLICA },
    { CALL_TXN | CALL_OBJECT_PUT | CALL_COPY, BILL_AT_SPOOL },
  };

  for (int i = 0; i < (int)SUITE_COUNT (cases); i++)
    {
      Fixture w;

      fixture_init (&w);
      fake_link_set (w.gate->link, cases[i].down, LINK_REFUSED);
      CU_ASSERT_EQUAL (fake_gate_commit (w.gate, i), cases[i].place);
      CU_ASSERT_EQUAL (fake_site_is_billed (&w.site, i), i == 0);
      fake_link_set (w.gate->link, CALL_ALL | CALL_COPY, LINK_UP);
      CU_ASSERT_TRUE (fake_gate_wait_settled (w.gate));
      CU_ASSERT_TRUE (fake_site_is_billed (&w.site, i));
      CU_ASSERT_EQUAL (fake_platform_rows (w.site.platform, BILL_TABLE), 1);
      fixture_free (&w);
    }
}

/* The reply to a record's write is lost after it took effect, and the write is repeated: there must
 * be one row for each record. */
static void
test_lost_reply_leaves_one_row (void)
{
  Fixture w;

  fixture_init (&w);
  fake_link_set (w.gate->link, CALL_TXN, LINK_REPLY_LOST);
  CU_ASSERT_EQUAL (fake_gate_commit (w.gate, 1), BILL_AT_OBJECT_STORE);
  CU_ASSERT_EQUAL (fake_gate_commit (w.gate, 2), BILL_AT_OBJECT_STORE);
  fake_link_set (w.gate->link, CALL_TXN, LINK_UP);
  CU_ASSERT_TRUE (fake_gate_wait_settled (w.gate));
  CU_ASSERT_TRUE (fake_site_is_billed (&w.site, 1) && fake_site_is_billed (&w.site, 2));
  CU_ASSERT_EQUAL (fake_platform_rows (w.site.platform, BILL_TABLE), 2);
  fixture_free (&w);
}

/* A claim is settled in the transaction of its bill, also from a fallback: a retry must never get
 * an answer that is not billed. */
static void
test_claim_is_settled_with_its_bill (void)
{
  Fixture w;
  Claim claim = { .key = "tender-desk/k", .nonce = "n1", .body_hash = 7 };
  ClaimSettlement settlement
      = { .claim = &claim, .http_status = 200, .content_type = "text/plain", .answer = "ok" };
  BillRecord record = fake_bill (1);
  PlatformRow row;
  ClaimRow parsed;

  fixture_init (&w);
  settlement.answer_len = 2;
  fake_link_set (w.gate->link, CALL_TXN, LINK_REFUSED);
  CU_ASSERT_EQUAL (bill_commit (w.gate->writer, &record, &settlement), BILL_AT_OBJECT_STORE);
  fake_link_kill (w.gate->link);
  fake_gate_free (w.gate, 0);
  fake_site_settle (&w.site, NULL);
  CU_ASSERT_TRUE (fake_site_is_billed (&w.site, 1));
  w.site.platform->ops->get (w.site.platform, CLAIM_TABLE, claim.key, 1000, &row, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (row.value);
  CU_ASSERT_TRUE (claim_row_parse (row.value, &parsed));
  CU_ASSERT_EQUAL (parsed.state, CLAIM_SETTLED);
  CU_ASSERT_STRING_EQUAL (parsed.answer.data, "ok");
  claim_row_clear (&parsed);
  platform_row_clear (&row);
  fake_site_free (&w.site);
}

/* A request is cut short, the caller sends it again under the same key, and it is answered. Then
 * the records of the cut attempt and of a second answer are written. The bill must be that of the
 * first answer. */
static void
test_answered_record_replaces_cut (void)
{
  Fixture w;
  BillRecord cut = fake_bill (1);
  BillRecord complete = fake_bill (2);
  BillRecord later = fake_bill (3);
  BillRecord found;

  fixture_init (&w);
  cut.outcome = BILL_CUT;
  bill_key (cut.team, "order-1", NULL, cut.key);
  bill_key (cut.team, "order-1", NULL, complete.key);
  bill_key (cut.team, "order-1", NULL, later.key);
  bill_commit (w.gate->writer, &cut, NULL);
  CU_ASSERT_TRUE (fake_site_bill (&w.site, cut.key, &found) && found.outcome == BILL_CUT);
  bill_commit (w.gate->writer, &complete, NULL);
  bill_commit (w.gate->writer, &cut, NULL);
  bill_commit (w.gate->writer, &later, NULL);
  CU_ASSERT_TRUE (fake_gate_wait_settled (w.gate));
  CU_ASSERT_TRUE (fake_site_bill (&w.site, cut.key, &found));
  CU_ASSERT_EQUAL (fake_bill_cost (&found), 2.25);
  CU_ASSERT_EQUAL (fake_platform_rows (w.site.platform, BILL_TABLE), 1);
  fixture_free (&w);
}

static bool
one_is_left (void *context)
{
  BillBacklog backlog;

  bill_backlog (context, &backlog);
  return backlog.count == 1;
}

/* The table service rejects one record as malformed. The record must not block the others and must
 * not be lost: it stays in the spool and in the object store, from where a steward writes it once
 * the service accepts it. */
static void
test_malformed_record_blocks_no_others (void)
{
  Fixture w;
  BillRecord bad = fake_bill (1);

  fixture_init (&w);
  fake_link_reject_key (w.gate->link, bad.key);
  for (int n = 0; n < 4; n++)
    fake_gate_commit (w.gate, n);
  CU_ASSERT_TRUE (suite_wait (one_is_left, w.gate->writer));
  for (int n = 0; n < 4; n++)
    CU_ASSERT_EQUAL (fake_site_is_billed (&w.site, n), n != 1);
  fake_gate_kill (w.gate);
  fake_site_settle (&w.site, NULL);
  CU_ASSERT_TRUE (fake_site_is_billed (&w.site, 1));
  fake_site_free (&w.site);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "text_parses_to_the_same_record", test_text_parses_to_the_same_record },
    { "invalid_text_is_rejected", test_invalid_text_is_rejected },
    { "only_retries_share_a_key", test_only_retries_share_a_key },
    { "fallbacks_are_tried_in_order", test_fallbacks_are_tried_in_order },
    { "lost_reply_leaves_one_row", test_lost_reply_leaves_one_row },
    { "claim_is_settled_with_its_bill", test_claim_is_settled_with_its_bill },
    { "answered_record_replaces_cut", test_answered_record_replaces_cut },
    { "malformed_record_blocks_no_others", test_malformed_record_blocks_no_others },
  };

  if (sodium_init () < 0)
    return 1;
  return suite_main (argc, argv, "bill", cases, SUITE_COUNT (cases));
}
