/**
 * Writes of the view row and of acceptance, and removal of members whose VMs no longer exist.
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

/** The rows as one steward has read them. */
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
test_registered_member_is_read_back (void)
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

/* Two VMs start at once and read the same row. If the second write replaced the first, a
   registered member would be missing in the view, and its vote with it. */
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
   would give new members a head that is too old, and a member that missed the patch could adopt
   the view and continue without the patch. */
static void
test_new_number_makes_view_conflict (void)
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

/* Acceptance counts members of the view that was read. If the view has changed since, the count
   may include members that have no vote any more. */
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
test_lost_reply_makes_row_unknown (void)
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

/** A steward without threads whose view has that many members, itself the first. */
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

/* A list of VMs with the members of the view at those indices. */
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
select_removed (StewardRemoval *r, Steward *s, const int *listed, size_t count, int64_t now)
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

/* A VM no longer exists. Its vote would still be needed for majorities; it must be removed after
   the list's lag. */
static void
test_missing_silent_member_is_removed (void)
{
  static const int without_third[] = { 0, 1 };
  StewardRemoval *r = steward_removal_new ();
  Steward *s = steward_of (3);

  CU_ASSERT_EQUAL (select_removed (r, s, without_third, 2, 100000), 0);
  CU_ASSERT_EQUAL (select_removed (r, s, without_third, 2, 100000 + STEWARD_LIST_LAG_MS - 1), 0);
  CU_ASSERT_EQUAL (select_removed (r, s, without_third, 2, 100000 + STEWARD_LIST_LAG_MS), 1);
  free_steward (s);
  steward_removal_free (r);
}

/* The list loses a VM that runs, and shows it again later. If it were removed, it would have no
   vote although it serves callers. */
static void
test_listed_or_live_member_is_kept (void)
{
  static const int without_third[] = { 0, 1 };
  static const int all[] = { 0, 1, 2 };
  int64_t late = 100000 + STEWARD_LIST_LAG_MS;
  StewardRemoval *r = steward_removal_new ();
  Steward *s = steward_of (3);
  ClusterState *third;

  CU_ASSERT_EQUAL (select_removed (r, s, without_third, 2, 100000), 0);
  CU_ASSERT_EQUAL (select_removed (r, s, all, 3, late - 1), 0);
  CU_ASSERT_EQUAL (select_removed (r, s, without_third, 2, late), 0);
  third = fake_member_new (3, 0, cluster_state_view (s->cluster.state));
  CU_ASSERT_TRUE (fake_exchange (s->cluster.state, third, late + 1, late + 1));
  CU_ASSERT_EQUAL (select_removed (r, s, without_third, 2, late + 2), 0);
  CU_ASSERT_EQUAL (select_removed (r, s, without_third, 2, late + STEWARD_LIST_LAG_MS), 0);
  cluster_state_free (third);
  free_steward (s);
  steward_removal_free (r);
}

/* A VM was cut off from all others, and reads the list again before any member has answered it. By
   their silence and a list that lags, all others would be removed. */
static void
test_members_are_kept_while_cut_off (void)
{
  static const int only_first[] = { 0 };
  StewardRemoval *r = steward_removal_new ();
  Steward *s = steward_of (3);

  steward_cluster_update_suspicion (s, 0);
  CU_ASSERT_EQUAL (s->cluster.suspicion.kind, STEWARD_SUSPECT_NONE);
  steward_cluster_update_suspicion (s, 100000);
  CU_ASSERT_EQUAL (s->cluster.suspicion.kind, STEWARD_SUSPECT_SELF);
  for (int64_t now = 0; now <= 3 * STEWARD_LIST_LAG_MS; now += 1000)
    CU_ASSERT_EQUAL (select_removed (r, s, only_first, 1, now), 0);
  free_steward (s);
  steward_removal_free (r);
}

/*
 * All VMs are replaced at once by VMs with other addresses. The old members are as many as the new
 * ones, so each steward suspects its own network; unless it removes them all the same, no patch can
 * come into force.
 */
static void
test_members_are_removed_after_replacement_of_all (void)
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
      CU_ASSERT_EQUAL (select_removed (r, s, first_two, 2, now), now < late ? 0 : 3);
    }
  CU_ASSERT_EQUAL (s->cluster.suspicion.kind, STEWARD_SUSPECT_SELF);
  cluster_state_free (second);
  free_steward (s);
  steward_removal_free (r);
}

/*
 * Guards against reporting number 8 as in force while a VM still answers under number 7: the VM
 * left the view at a graceful stop, was started again in an outage and takes work on its peers'
 * reports, although numbers count as in force without it.
 */
static void
test_steward_that_is_not_waited_for_gets_no_grant (void)
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
  /* At the address of a killed member the steward is waited for in that member's slot. */
  s->self = view->members[0];
  CU_ASSERT_EQUAL (steward_cluster_grant (s, 1001), FAKE_GRANT_MS - 1);
  cluster_state_free (second);
  cluster_state_free (third);
  free_steward (s);
}

/* Up to nine members in three failure domains, the first being this steward; 's' marks a silent
   one. */
static StewardSuspicion
suspicion_of (const char *silent)
{
  static const char *const domains[] = { "a", "b", "c" };
  ClusterView *view = memory_alloc (sizeof *view);
  bool is_silent[9];
  StewardSuspicion suspicion;

  view->count = strlen (silent);
  for (size_t i = 0; i < view->count; i++)
    {
      is_silent[i] = silent[i] == 's';
      snprintf (view->members[i].failure_domain, CLUSTER_NAME_MAX, "%s", domains[i / 3]);
    }
  suspicion = steward_suspicion_classify (view, is_silent, 0);
  free (view);
  return suspicion;
}

static void
test_silence_is_classified (void)
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

/* The list is empty or of another site, as after a fault of the platform. By such a list all
   members would be removed. */
static void
test_foreign_list_removes_no_member (void)
{
  static const int without_first[] = { 1 };
  StewardRemoval *r = steward_removal_new ();
  Steward *s = steward_of (3);

  for (int64_t now = 0; now <= 3 * STEWARD_LIST_LAG_MS; now += 1000)
    {
      CU_ASSERT_EQUAL (select_removed (r, s, without_first, 1, now), 0);
      CU_ASSERT_EQUAL (select_removed (r, s, NULL, 0, now), 0);
    }
  free_steward (s);
  steward_removal_free (r);
}

int
main (int argc, char **argv)
{
  static const SuiteCase cases[] = {
    { "registered_member_is_read_back", test_registered_member_is_read_back },
    { "second_registration_conflicts", test_second_registration_conflicts },
    { "new_number_makes_view_conflict", test_new_number_makes_view_conflict },
    { "accept_needs_unchanged_view", test_accept_needs_unchanged_view },
    { "lost_reply_makes_row_unknown", test_lost_reply_makes_row_unknown },
    { "missing_silent_member_is_removed", test_missing_silent_member_is_removed },
    { "listed_or_live_member_is_kept", test_listed_or_live_member_is_kept },
    { "members_are_kept_while_cut_off", test_members_are_kept_while_cut_off },
    { "silence_is_classified", test_silence_is_classified },
    { "members_are_removed_after_replacement_of_all",
      test_members_are_removed_after_replacement_of_all },
    { "steward_that_is_not_waited_for_gets_no_grant",
      test_steward_that_is_not_waited_for_gets_no_grant },
    { "foreign_list_removes_no_member", test_foreign_list_removes_no_member },
  };

  return suite_main (argc, argv, "steward_view", cases, SUITE_COUNT (cases));
}
