/**
 * Writes of the view row and of acceptance, and removal of members that are gone.
 */
#include "fake_members.h"
#include "fake_platform.h"
#include "steward_cluster.h"
#include "steward_removal.h"
#include "steward_view.h"
#include "suite.h"
#include "util_memory.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS 1000

static const StewardAuditEntry entry = { .who = "vm-1", .action = "view" };

static void
put_head (Platform *p, int64_t number, int64_t accepted)
{
  char *text = steward_head_text (number, accepted);
  TxnOp op = { .kind = TXN_PUT, .table = "config_head", .key = "head", .value = text };

  CU_ASSERT_EQUAL (p->ops->txn (p, &op, 1, TIMEOUT_MS, NULL), STATUS_OK);
  free (text);
}

/** What one steward has read. */
typedef struct
{
  StewardHead head;
  StewardViewRow row;
  ClusterView next;
} Seen;

static Seen *
read_rows (Platform *p)
{
  Seen *seen = memory_alloc (sizeof *seen);

  CU_ASSERT_EQUAL (steward_head_read (p, TIMEOUT_MS, &seen->head, NULL), STATUS_OK);
  CU_ASSERT_EQUAL (steward_view_read (p, TIMEOUT_MS, &seen->row, NULL), STATUS_OK);
  return seen;
}

static StatusCode
register_member (Platform *p, Seen *seen, uint64_t incarnation)
{
  ClusterMember self = fake_member (incarnation, (int)incarnation);

  CU_ASSERT_TRUE (cluster_view_register (&seen->row.view, &self, seen->head.number, &seen->next));
  return steward_view_write (p, TIMEOUT_MS, &seen->row, &seen->head, &seen->next, &entry, NULL);
}

static void
test_register_and_read (void)
{
  Platform *p = fake_platform_new ();
  Seen *seen = read_rows (p);

  CU_ASSERT_EQUAL (seen->row.view.number, 0);
  CU_ASSERT_EQUAL (register_member (p, seen, 1), STATUS_OK);
  free (seen);
  seen = read_rows (p);
  CU_ASSERT_EQUAL (seen->row.view.number, 1);
  CU_ASSERT_EQUAL (seen->row.view.count, 1);
  CU_ASSERT_TRUE (seen->row.view.established);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "audit"), 1);
  free (seen);
  platform_free (p);
}

/* Two VMs start at once and read the same row. If the second write put its own list over the
 * first's, a registered member would vanish from the view, and its vote with it. */
static void
test_second_registration_conflicts (void)
{
  Platform *p = fake_platform_new ();
  Seen *a = read_rows (p);
  Seen *b = read_rows (p);

  CU_ASSERT_EQUAL (register_member (p, a, 1), STATUS_OK);
  CU_ASSERT_EQUAL (register_member (p, b, 2), STATUS_CONFLICT);
  CU_ASSERT_FALSE (b->row.known);
  free (b);
  b = read_rows (p);
  CU_ASSERT_EQUAL (register_member (p, b, 2), STATUS_OK);
  CU_ASSERT_EQUAL (b->row.view.count, 2);
  CU_ASSERT_EQUAL (fake_platform_rows (p, "audit"), 2);
  free (a);
  free (b);
  platform_free (p);
}

/* A patch becomes durable between a steward's read of the head and its write of the view. The view
 * would tell new members of a head that is too old, and one that missed the patch could take the
 * view over and go on. */
static void
test_new_number_refuses_view (void)
{
  Platform *p = fake_platform_new ();
  Seen *seen;

  put_head (p, 1, 1);
  seen = read_rows (p);
  put_head (p, 2, 1);
  CU_ASSERT_EQUAL (register_member (p, seen, 1), STATUS_CONFLICT);
  free (seen);
  platform_free (p);
}

/* Acceptance counts members of the view that was read. If the view changed meanwhile, the count may
 * be of members that have no vote any more. */
static void
test_accept_needs_unchanged_view (void)
{
  Platform *p = fake_platform_new ();
  Seen *a, *b;

  put_head (p, 3, 1);
  a = read_rows (p);
  CU_ASSERT_EQUAL (register_member (p, a, 1), STATUS_OK);
  b = read_rows (p);
  CU_ASSERT_EQUAL (register_member (p, b, 2), STATUS_OK);
  CU_ASSERT_EQUAL (steward_view_accept (p, TIMEOUT_MS, &a->row, &a->head, 2, "vm-1", NULL),
                   STATUS_CONFLICT);
  CU_ASSERT_EQUAL (steward_view_accept (p, TIMEOUT_MS, &b->row, &b->head, 2, "vm-1", NULL),
                   STATUS_OK);
  CU_ASSERT_EQUAL (b->head.accepted, 2);
  free (a);
  a = read_rows (p);
  CU_ASSERT_EQUAL (a->head.accepted, 2);
  CU_ASSERT_EQUAL (a->head.number, 3);
  CU_ASSERT_EQUAL (a->head.version, b->head.version);
  free (a);
  free (b);
  platform_free (p);
}

static void
test_lost_reply_forgets_row (void)
{
  Platform *p = fake_platform_new ();
  Seen *seen = read_rows (p);

  fake_platform_fault (p, FAULT_LOSE_REPLY, CALL_TXN, 1);
  CU_ASSERT_EQUAL (register_member (p, seen, 1), STATUS_UNKNOWN);
  CU_ASSERT_FALSE (seen->row.known);
  free (seen);
  seen = read_rows (p);
  CU_ASSERT_TRUE (cluster_view_find (&seen->row.view, 1) >= 0);
  free (seen);
  platform_free (p);
}

/** A steward that knows a view of that many, itself the first, without threads. */
static Steward *
steward_of (size_t count)
{
  static const uint64_t members[] = { 1, 2, 3, 4, 5 };
  Steward *s = memory_alloc (sizeof *s);
  ClusterView *view = memory_alloc (sizeof *view);

  *view = fake_view (1, 0, members, count);
  s->settings.grant_ms = FAKE_GRANT_MS;
  s->incarnation = 1;
  snprintf (s->self.vm, sizeof s->self.vm, "%s", view->members[0].vm);
  steward_cluster_init (&s->cluster, 1, FAKE_GRANT_MS);
  CU_ASSERT_TRUE (cluster_state_adopt_view (s->cluster.state, view));
  free (view);
  return s;
}

static void
free_steward (Steward *s)
{
  steward_cluster_clear (&s->cluster);
  free (s);
}

/* Lists the members of the view with those numbers. */
static PlatformVms
list_of (const Steward *s, const int *numbers, size_t count)
{
  const ClusterView *view = cluster_state_view (s->cluster.state);
  PlatformVms vms = { .vms = memory_array (count + 1, sizeof (PlatformVm)), .count = count };

  for (size_t i = 0; i < count; i++)
    vms.vms[i].name = memory_strdup (view->members[numbers[i]].vm);
  return vms;
}

static size_t
judge (StewardRemoval *r, Steward *s, const int *listed, size_t count, int64_t now)
{
  PlatformVms vms = list_of (s, listed, count);
  uint64_t *dead;
  size_t due
      = steward_removal_select (r, s, cluster_state_view (s->cluster.state), &vms, now, &dead);

  CU_ASSERT_TRUE (due == 0 || dead[0] == 3);
  free (dead);
  platform_vms_clear (&vms);
  return due;
}

/* A VM is gone and never comes back. Its vote would stay in every majority; after the list's lag it
 * is removed. */
static void
test_removal_after_lag (void)
{
  static const int without_third[] = { 0, 1 };
  StewardRemoval *r = steward_removal_new ();
  Steward *s = steward_of (3);

  CU_ASSERT_EQUAL (judge (r, s, without_third, 2, 100000), 0);
  CU_ASSERT_EQUAL (judge (r, s, without_third, 2, 100000 + STEWARD_LIST_LAG_MS - 1), 0);
  CU_ASSERT_EQUAL (judge (r, s, without_third, 2, 100000 + STEWARD_LIST_LAG_MS), 1);
  free_steward (s);
  steward_removal_free (r);
}

/* The list loses a VM that runs, and shows it again later. Removed, it would have no vote although
 * it serves callers. */
static void
test_no_removal_of_listed_or_heard (void)
{
  static const int without_third[] = { 0, 1 };
  static const int all[] = { 0, 1, 2 };
  int64_t late = 100000 + STEWARD_LIST_LAG_MS;
  StewardRemoval *r = steward_removal_new ();
  Steward *s = steward_of (3);
  ClusterState *third;

  CU_ASSERT_EQUAL (judge (r, s, without_third, 2, 100000), 0);
  CU_ASSERT_EQUAL (judge (r, s, all, 3, late - 1), 0);
  CU_ASSERT_EQUAL (judge (r, s, without_third, 2, late), 0);
  third = fake_member_new (3, 0, cluster_state_view (s->cluster.state));
  CU_ASSERT_TRUE (fake_exchange (s->cluster.state, third, late + 1, late + 1));
  CU_ASSERT_EQUAL (judge (r, s, without_third, 2, late + 2), 0);
  CU_ASSERT_EQUAL (judge (r, s, without_third, 2, late + STEWARD_LIST_LAG_MS), 0);
  cluster_state_free (third);
  free_steward (s);
  steward_removal_free (r);
}

/* We were cut off from all, and see the list again before we hear anybody: by silence and a list
 * that lags, the others would be dead. */
static void
test_no_removal_while_cut_off (void)
{
  static const int only_first[] = { 0 };
  StewardRemoval *r = steward_removal_new ();
  Steward *s = steward_of (3);

  steward_cluster_update_suspicion (s, 0);
  CU_ASSERT_EQUAL (s->cluster.suspicion.kind, STEWARD_SUSPECT_NONE);
  steward_cluster_update_suspicion (s, 100000);
  CU_ASSERT_EQUAL (s->cluster.suspicion.kind, STEWARD_SUSPECT_SELF);
  for (int64_t now = 0; now <= 3 * STEWARD_LIST_LAG_MS; now += 1000)
    CU_ASSERT_EQUAL (judge (r, s, only_first, 1, now), 0);
  free_steward (s);
  steward_removal_free (r);
}

/*
 * After all VMs were replaced at once by VMs with other addresses, no patch comes into force any
 * more. Those that are gone stay in the view, and as they are as many as the new ones, each steward
 * suspects its own network and removes none of them. Found by the soak run.
 */
static void
test_removal_after_most_were_replaced (void)
{
  static const int first_two[] = { 0, 1 };
  int64_t late = 100000 + STEWARD_LIST_LAG_MS;
  StewardRemoval *r = steward_removal_new ();
  Steward *s = steward_of (5);
  ClusterState *second = fake_member_new (2, 0, cluster_state_view (s->cluster.state));

  for (int64_t now = 100000; now <= late; now += 1000)
    {
      CU_ASSERT_TRUE (fake_exchange (s->cluster.state, second, now, now));
      steward_cluster_update_suspicion (s, now);
      CU_ASSERT_EQUAL (judge (r, s, first_two, 2, now), now < late ? 0 : 3);
    }
  CU_ASSERT_EQUAL (s->cluster.suspicion.kind, STEWARD_SUSPECT_SELF);
  cluster_state_free (second);
  free_steward (s);
  steward_removal_free (r);
}

/*
 * An operator is told that number 8 is in force; a request sent after that is answered under
 * number 7. A VM was stopped as planned, so that it was no member any more, and was started again
 * in an outage; it took work on its peers' word, and nobody waited for it. Found by the soak run.
 */
static void
test_no_grant_for_one_who_is_not_waited_for (void)
{
  Steward *s = steward_of (3);
  const ClusterView *view = cluster_state_view (s->cluster.state);
  ClusterState *second = fake_member_new (2, 0, view);
  ClusterState *third = fake_member_new (3, 0, view);

  CU_ASSERT_TRUE (fake_exchange (s->cluster.state, second, 1000, 1000));
  CU_ASSERT_TRUE (fake_exchange (s->cluster.state, third, 1000, 1000));
  CU_ASSERT_EQUAL (steward_cluster_grant (s, 1001), FAKE_GRANT_MS - 1);
  s->incarnation = 9;
  CU_ASSERT_EQUAL (steward_cluster_grant (s, 1001), 0);
  /* At the address of a member that was killed it is waited for in that one's place. */
  s->self = view->members[0];
  CU_ASSERT_EQUAL (steward_cluster_grant (s, 1001), FAKE_GRANT_MS - 1);
  cluster_state_free (second);
  cluster_state_free (third);
  free_steward (s);
}

/* Nine members in three failure domains, ours the first. */
static StewardSuspicion
suspicion_of (const char *silent)
{
  static const char *const domains[] = { "a", "b", "c" };
  ClusterView *view = memory_alloc (sizeof *view);
  bool quiet[9];
  StewardSuspicion suspicion;

  view->count = strlen (silent);
  for (size_t i = 0; i < view->count; i++)
    {
      quiet[i] = silent[i] == 's';
      snprintf (view->members[i].failure_domain, CLUSTER_NAME_MAX, "%s", domains[i / 3]);
    }
  suspicion = steward_suspicion_judge (view, quiet, 0);
  free (view);
  return suspicion;
}

static void
test_suspicions_told_apart (void)
{
  CU_ASSERT_EQUAL (suspicion_of (".........").kind, STEWARD_SUSPECT_NONE);
  CU_ASSERT_EQUAL (suspicion_of ("....s....").kind, STEWARD_SUSPECT_MEMBERS);
  CU_ASSERT_EQUAL (suspicion_of (".s..s....").kind, STEWARD_SUSPECT_MEMBERS);
  CU_ASSERT_EQUAL (suspicion_of ("...sss...").kind, STEWARD_SUSPECT_DOMAIN);
  CU_ASSERT_STRING_EQUAL (suspicion_of ("...sss...").failure_domain, "b");
  CU_ASSERT_EQUAL (suspicion_of (".s.sss...").kind, STEWARD_SUSPECT_DOMAIN);
  CU_ASSERT_EQUAL (suspicion_of (".s.sss.s.").kind, STEWARD_SUSPECT_SELF);
  CU_ASSERT_EQUAL (suspicion_of (".ssssssss").kind, STEWARD_SUSPECT_SELF);
  CU_ASSERT_EQUAL (suspicion_of (".s").kind, STEWARD_SUSPECT_MEMBERS);
  CU_ASSERT_EQUAL (suspicion_of ("").kind, STEWARD_SUSPECT_NONE);
}

/* The list is empty or of another site, as after a fault of the platform: by it all members would
 * be dead. */
static void
test_no_removal_by_foreign_list (void)
{
  static const int without_first[] = { 1 };
  StewardRemoval *r = steward_removal_new ();
  Steward *s = steward_of (3);

  for (int64_t now = 0; now <= 3 * STEWARD_LIST_LAG_MS; now += 1000)
    {
      CU_ASSERT_EQUAL (judge (r, s, without_first, 1, now), 0);
      CU_ASSERT_EQUAL (judge (r, s, NULL, 0, now), 0);
    }
  free_steward (s);
  steward_removal_free (r);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "register_and_read", test_register_and_read },
    { "second_registration_conflicts", test_second_registration_conflicts },
    { "new_number_refuses_view", test_new_number_refuses_view },
    { "accept_needs_unchanged_view", test_accept_needs_unchanged_view },
    { "lost_reply_forgets_row", test_lost_reply_forgets_row },
    { "removal_after_lag", test_removal_after_lag },
    { "no_removal_of_listed_or_heard", test_no_removal_of_listed_or_heard },
    { "no_removal_while_cut_off", test_no_removal_while_cut_off },
    { "suspicions_told_apart", test_suspicions_told_apart },
    { "removal_after_most_were_replaced", test_removal_after_most_were_replaced },
    { "no_grant_for_one_who_is_not_waited_for", test_no_grant_for_one_who_is_not_waited_for },
    { "no_removal_by_foreign_list", test_no_removal_by_foreign_list },
  };

  return suite_main (argc, argv, "steward_view", cases, SUITE_COUNT (cases));
}
