/**
 * The view row: registration, removal, establishing, and its JSON text.
 */
#include "cluster_accept.h"
#include "cluster_view.h"
#include "fake_members.h"
#include "suite.h"
#include "util_memory.h"
#include <stdlib.h>
#include <string.h>

#define NINE ((size_t)9)

static ClusterView
register_nine (uint64_t first, int first_slot, const ClusterView *row)
{
  ClusterView v = *row;
  ClusterView next;

  for (size_t i = 0; i < NINE; i++)
    {
      ClusterMember self = fake_member (first + i, first_slot + (int)i);
      CU_ASSERT_TRUE (cluster_view_register (&v, &self, v.head, &next));
      v = next;
    }
  return v;
}

static void
the_first_view_is_established (void)
{
  ClusterView none = { 0 };
  ClusterView v;
  ClusterView next;
  ClusterMember self = fake_member (1, 1);
  ClusterMember other = fake_member (2, 2);

  CU_ASSERT_TRUE (cluster_view_register (&none, &self, 3, &v));
  CU_ASSERT_EQUAL (v.number, 1);
  CU_ASSERT_EQUAL (v.head, 3);
  CU_ASSERT_TRUE (v.established);
  CU_ASSERT_FALSE (cluster_view_register (&v, &self, 3, &next));
  CU_ASSERT_TRUE (cluster_view_register (&v, &other, 4, &next));
  CU_ASSERT_EQUAL (next.number, 2);
  CU_ASSERT_EQUAL (next.head, 4);
  CU_ASSERT_FALSE (next.established);
  CU_ASSERT_EQUAL (next.count, 2);
  CU_ASSERT_EQUAL (next.previous_count, 1);
  CU_ASSERT_EQUAL (next.previous[0], 1);
}

/* The head row and the view row are read one after the other; a patch and a registration in between
   make the head older than the view. The transaction would fail, so that no change may be based on
   them. */
static void
a_head_older_than_the_view_is_rejected (void)
{
  static const uint64_t members[] = { 1, 2 };
  ClusterView v = fake_view (4, 9, members, 2);
  ClusterView pending = fake_pending_view (4, 9, members, 2, members, 1);
  ClusterState *s = fake_member_new (1, 9, &pending);
  ClusterView out;
  ClusterMember self = fake_member (3, 3);
  uint64_t removed = 2;

  CU_ASSERT_FALSE (cluster_view_register (&v, &self, 8, &out));
  CU_ASSERT_FALSE (cluster_view_remove (&v, &removed, 1, 8, &out));
  CU_ASSERT_FALSE (cluster_view_establish (&pending, s, 8, &out));
  CU_ASSERT_TRUE (cluster_view_establish (&pending, s, 9, &out));
  cluster_state_free (s);
}

static void
previous_members_stay_until_established (void)
{
  static const uint64_t members[] = { 1, 2, 3 };
  static const uint64_t removed[] = { 2, 77 };
  ClusterView v = fake_view (4, 0, members, 3);
  ClusterView first;
  ClusterView second;
  ClusterMember joining = fake_member (4, 4);

  CU_ASSERT_TRUE (cluster_view_register (&v, &joining, 0, &first));
  CU_ASSERT_TRUE (cluster_view_remove (&first, removed, 2, 0, &second));
  CU_ASSERT_FALSE (cluster_view_remove (&second, removed, 2, 0, &v));
  CU_ASSERT_EQUAL (second.number, 6);
  CU_ASSERT_EQUAL (second.count, 3);
  CU_ASSERT_EQUAL (cluster_view_find (&second, 2), -1);
  CU_ASSERT_EQUAL (second.previous_count, 3);
  CU_ASSERT_EQUAL (second.previous[1], 2);
}

/* All nine stewards restart at their addresses. No earlier process is left to confirm the new view;
   each replacement at an address proves one of them dead. */
static void
all_members_restart_at_their_addresses (void)
{
  static const uint64_t old_members[] = { 1, 2, 3, 4, 5, 6, 7, 8, 9 };
  ClusterView v = fake_view (1, 7, old_members, NINE);
  ClusterView pending = register_nine (101, 1, &v);
  ClusterState *s = fake_member_new (101, 7, &pending);
  ClusterView out;

  CU_ASSERT_EQUAL (pending.count, NINE);
  CU_ASSERT_EQUAL (pending.previous_count, NINE);
  CU_ASSERT_TRUE (cluster_view_establish (&pending, s, 7, &out));
  CU_ASSERT_EQUAL (out.count, NINE);
  CU_ASSERT_EQUAL (out.previous_count, 0);
  cluster_state_free (s);
}

/* All nine are replaced at new addresses. The old ones may be alive until they have been missing
   from the platform's list for longer than its lag; then the removal of a majority is enough. */
static void
all_members_are_replaced_at_new_addresses (void)
{
  static const uint64_t old_members[] = { 1, 2, 3, 4, 5, 6, 7, 8, 9 };
  ClusterView v = fake_view (1, 7, old_members, NINE);
  ClusterView pending = register_nine (101, 21, &v);
  ClusterState *s = fake_member_new (101, 7, &pending);
  ClusterView out;
  size_t needed;

  CU_ASSERT_EQUAL (pending.count, 2 * NINE);
  CU_ASSERT_FALSE (cluster_view_establish (&pending, s, 7, &out));
  CU_ASSERT_TRUE (cluster_view_remove (&pending, old_members, 4, 7, &v));
  CU_ASSERT_EQUAL (cluster_view_confirmed (&v, s, &needed), 4);
  CU_ASSERT_FALSE (cluster_view_establish (&v, s, 7, &out));
  CU_ASSERT_TRUE (cluster_view_remove (&v, old_members, NINE, 7, &pending));
  CU_ASSERT_TRUE (cluster_view_establish (&pending, s, 7, &out));
  CU_ASSERT_EQUAL (out.count, NINE);
  cluster_state_free (s);
}

/* The last VM of a site leaves; later the site starts again at other addresses. */
static void
a_member_can_join_an_empty_view (void)
{
  static const uint64_t members[] = { 1 };
  ClusterView v = fake_view (1, 7, members, 1);
  ClusterMember self = fake_member (2, 2);
  ClusterState *s = fake_member_new (2, 7, NULL);
  ClusterView empty;
  ClusterView pending;
  ClusterView out;

  CU_ASSERT_TRUE (cluster_view_remove (&v, members, 1, 7, &empty));
  CU_ASSERT_FALSE (cluster_view_establish (&empty, s, 7, &out));
  CU_ASSERT_TRUE (cluster_view_register (&empty, &self, 7, &pending));
  CU_ASSERT_TRUE (cluster_view_establish (&pending, s, 7, &out));
  CU_ASSERT_EQUAL (out.count, 1);
  cluster_state_free (s);
}

static void
a_full_view_admits_only_replacements (void)
{
  ClusterView *v = memory_alloc (sizeof *v);
  ClusterView *out = memory_alloc (sizeof *out);
  ClusterMember self = fake_member (9001, 600);

  *v = (ClusterView){ .number = 1, .established = true, .count = CLUSTER_MEMBERS_MAX };
  for (size_t i = 0; i < v->count; i++)
    v->members[i] = fake_member (i + 1, (int)i);
  CU_ASSERT_FALSE (cluster_view_register (v, &self, 0, out));
  self = fake_member (9001, 5);
  CU_ASSERT_TRUE (cluster_view_register (v, &self, 0, out));
  CU_ASSERT_EQUAL (out->members[5].incarnation, 9001);
  free (v);
  free (out);
}

/* While a join is pending the previous members accept numbers; the joining ones have no vote
   yet. */
static void
previous_members_accept_while_pending (void)
{
  static const uint64_t old_members[] = { 1, 2, 3 };
  static const uint64_t new_members[] = { 1, 2, 3, 4, 5 };
  ClusterView v = fake_pending_view (2, 7, new_members, 5, old_members, 3);
  ClusterState *s = fake_member_new (1, 8, &v);
  ClusterState *joining[] = { fake_member_new (4, 8, &v), fake_member_new (5, 8, &v) };
  ClusterState *old = fake_member_new (2, 8, &v);
  size_t needed;

  fake_exchange (s, joining[0], 1000, 1000);
  fake_exchange (s, joining[1], 1000, 1000);
  CU_ASSERT_EQUAL (cluster_accept_count (s, &v, 8, &needed), 1);
  CU_ASSERT_EQUAL (needed, 2);
  CU_ASSERT_EQUAL (cluster_accept_number (s, &v, 8, 7), 0);
  fake_exchange (s, old, 1000, 1000);
  CU_ASSERT_EQUAL (cluster_accept_number (s, &v, 8, 7), 8);
  cluster_state_free (s);
  cluster_state_free (old);
  cluster_state_free (joining[0]);
  cluster_state_free (joining[1]);
}

static void
the_text_parses_to_the_same_view (void)
{
  static const uint64_t old_members[] = { 1, 2, 0xfedcba9876543210U };
  static const uint64_t new_members[] = { 1, 2, 0xfedcba9876543210U, 4 };
  ClusterView v = fake_pending_view (12, 7, new_members, 4, old_members, 3);
  ClusterView back;
  CheckList list = { 0 };
  char *text = cluster_view_text (&v);

  CU_ASSERT_TRUE (cluster_view_parse (text, &back, &list));
  CU_ASSERT_EQUAL (list.count, 0);
  char *again = cluster_view_text (&back);
  CU_ASSERT_STRING_EQUAL (text, again);
  CU_ASSERT_EQUAL (back.number, 12);
  CU_ASSERT_EQUAL (back.previous[2], 0xfedcba9876543210U);
  CU_ASSERT_EQUAL (back.members[3].incarnation, 4);
  CU_ASSERT_EQUAL (back.members[3].port, v.members[3].port);
  free (text);
  free (again);
  check_free (&list);
}

#define ROW(members, previous)                                                                     \
  "{\"number\":1,\"head\":0,\"established\":false,\"members\":" members ",\"previous\":" previous  \
  "}"

static void
invalid_text_is_rejected (void)
{
  static const char *const bad_texts[] = {
    "",
    "[]",
    "{\"number\":1}",
    ROW ("[]", "[]"),
    ROW ("[1]", "[\"00000000000000aa\"]"),
    ROW ("[{\"vm\":\"a\"}]", "[\"00000000000000aa\"]"),
    ROW ("[]", "[\"00000000000000AA\"]"),
    ROW ("[]", "[\"0000000000000000\"]"),
    ROW ("[]", "[5]"),
    ROW ("[]", "{}"),
  };
  ClusterView out;

  for (size_t i = 0; i < sizeof bad_texts / sizeof *bad_texts; i++)
    {
      CheckList list = { 0 };
      CU_ASSERT_FALSE (cluster_view_parse (bad_texts[i], &out, &list));
      CU_ASSERT_TRUE (list.count > 0);
      check_free (&list);
    }
}

static const SuiteCase cases[] = {
  { "the_first_view_is_established", the_first_view_is_established },
  { "a_head_older_than_the_view_is_rejected", a_head_older_than_the_view_is_rejected },
  { "previous_members_stay_until_established", previous_members_stay_until_established },
  { "all_members_restart_at_their_addresses", all_members_restart_at_their_addresses },
  { "all_members_are_replaced_at_new_addresses", all_members_are_replaced_at_new_addresses },
  { "a_member_can_join_an_empty_view", a_member_can_join_an_empty_view },
  { "a_full_view_admits_only_replacements", a_full_view_admits_only_replacements },
  { "previous_members_accept_while_pending", previous_members_accept_while_pending },
  { "the_text_parses_to_the_same_view", the_text_parses_to_the_same_view },
  { "invalid_text_is_rejected", invalid_text_is_rejected },
};

int
main (int argc, char **argv)
{
  return suite_main (argc, argv, "cluster_view", cases, SUITE_COUNT (cases));
}
