/*
 * Model of acceptance during changes of the membership: see docs/design/configuration.md.
 *
 * One patch (number 1) withdraws what number 0 allows. Incarnations apply it, see views, die and
 * are replaced at the same or another address; rows of the view table are written under the rules of
 * src/cluster_view.c and src/cluster_accept.c.
 *
 * The model has no time. A grant by peers ends grant_ms after a time t at which a majority of a view's
 * members supported it (src/cluster_grant.c). So the property, that no grant outlasts the acceptance by
 * more than grant_ms, means that no such t is after the acceptance. What an incarnation has applied and
 * seen only rises; if it supports a grant at any later time, it did so at the acceptance. Hence the
 * check at that moment, over every view that a steward without the patch can have adopted. The check
 * holds whatever messages were lost, delayed or duplicated, and whatever stewards know of each other:
 * acceptance and establishing may count the true state of any incarnation.
 *
 * Steps that can only help the property are left out if another run without them is otherwise equal:
 * an incarnation sees a view only while it can help to establish it, applies the patch only at the
 * moment of acceptance (if it was alive after the patch became durable), and dies only at the moment in
 * which it is replaced or removed. Seeing a view, applying or dying earlier would only remove its
 * support from a grant.
 *
 * With -DGO_ON the run continues after the acceptance, and the views written then are checked too.
 *
 * Each of these -D options removes one guard, and must give a counter-example (NO_FLOOR with GO_ON):
 *   NO_FLOOR          a view is adopted by a steward that lacks the view's head number
 *   NO_SETTLING       a view is established without confirmation by previous members
 *   OLD_FORM          knowing an earlier version of the pending view confirms it
 *   ONE_MAJORITY      under a pending view a majority of the new members supports a grant
 *   ANY_VIEW          members that have seen a newer view support a grant
 *   SLOT_VOTES        a new incarnation votes for the one that it replaced in its slot
 *   NEW_VOTERS        the members of a pending view accept numbers
 *   ANY_NUMBER        members that have applied the patch support a grant
 *   ALIVE_TAKEN_OVER  a replaced or removed incarnation stays alive
 */
#ifndef INCARNATIONS
#define INCARNATIONS 6 /* at most 7 */
#endif
#ifndef FIRST
#define FIRST 3 /* members of the first view */
#endif
#ifndef VIEWS
#define VIEWS 6 /* view numbers are 1 to VIEWS - 1 */
#endif

#ifdef GO_ON
#define IS_OVER (accepted == 2)
#else
#define IS_OVER (accepted != 0)
#endif

#define BIT(i)     (1 << (i))
#define HAS(set,i) ((((set) >> (i)) & 1) != 0)

#ifdef ANY_NUMBER
#define OF_OLD_NUMBER(i) (1)
#else
#define OF_OLD_NUMBER(i) (!HAS (applied, i))
#endif
#ifdef ANY_VIEW
#define OF_VIEW(i) (1)
#else
#define OF_VIEW(i) (seen_view[i] <= v)
#endif
#ifdef SLOT_VOTES
#define VOTES_FOR(i,j) (slot[j] == slot[i])
#else
#define VOTES_FOR(i,j) ((j) == (i))
#endif
#ifdef OLD_FORM
#define KNOWS_ROW(i) (seen_view[i] >= first_pending[row])
#else
#define KNOWS_ROW(i) (seen_view[i] >= row)
#endif
#ifdef NO_FLOOR
#define CAN_ADOPT(v) (1)
#else
#define CAN_ADOPT(v) (!head_at_write[v])
#endif
#ifdef ONE_MAJORITY
#define NEEDS_BOTH(v) (0)
#else
#define NEEDS_BOTH(v) (!established[v])
#endif
#ifdef NEW_VOTERS
#define VOTERS (members[row])
#else
#define VOTERS (established[row] -> members[row] : previous[row])
#endif
#ifdef NO_SETTLING
#define IS_CONFIRMED(i) (1)
#else
#define IS_CONFIRMED(i) (!HAS (members[row], i) || KNOWS_ROW (i))
#endif

byte alive = BIT (FIRST) - 1;
byte started = FIRST;
byte may_apply;   /* those that were alive after the patch became durable */
byte applied = 0; /* chosen at the acceptance, out of may_apply */
byte seen_view[INCARNATIONS];
byte slot[INCARNATIONS];

/* The rows of the view table by number. */
byte row = 1;
byte members[VIEWS];
byte previous[VIEWS];
byte first_pending[VIEWS]; /* number of the first pending row since the last established one */
bit established[VIEWS];
bit head_at_write[VIEWS];

bit head = 0;
byte accepted = 0; /* 1: yes; 2: tried without a majority, which ends the run */

byte i, j, v, n, m, set, part, whole;

/* m = 1 if `part` holds a majority of `whole` */
inline majority ()
{
  n = 0;
  m = 0;
  i = 0;
  do
  :: i < INCARNATIONS ->
     n = n + HAS (whole, i);
     m = m + HAS (part & whole, i);
     i++
  :: else -> break
  od;
  m = (n > 0 && m > n / 2 -> 1 : 0)
}

inline write_row (new_members, is_established)
{
  members[row + 1] = new_members;
  established[row + 1] = is_established;
  head_at_write[row + 1] = head;
  if
  :: is_established -> previous[row + 1] = 0; first_pending[row + 1] = 0
  :: else ->
     if
     :: established[row] -> previous[row + 1] = members[row]; first_pending[row + 1] = row + 1
     :: else -> previous[row + 1] = previous[row]; first_pending[row + 1] = first_pending[row]
     fi
  fi;
  row++
}

/* set = incarnations that have seen the pending row or are proved dead */
inline find_confirmed ()
{
  set = 0;
  i = 0;
  do
  :: i < INCARNATIONS ->
     if
     :: IS_CONFIRMED (i) -> set = set | BIT (i)
     :: else -> skip
     fi;
     i++
  :: else -> break
  od
}

/* set = incarnations that may support a grant on number 0 under view v */
inline find_supporters ()
{
  set = 0;
  i = 0;
  do
  :: i < INCARNATIONS ->
     j = 0;
     do
     :: j < INCARNATIONS ->
        if
        :: HAS (alive, i) && OF_OLD_NUMBER (i) && OF_VIEW (i) && VOTES_FOR (i, j) ->
           set = set | BIT (j)
        :: else -> skip
        fi;
        j++
     :: else -> break
     od;
     i++
  :: else -> break
  od
}

inline clear ()
{
  i = 0; j = 0; v = 0; n = 0; m = 0; set = 0; part = 0; whole = 0
}

inline check ()
{
  v = 1;
  do
  :: v <= row ->
     if
     :: CAN_ADOPT (v) ->
        find_supporters ();
        part = set;
        whole = members[v];
        majority ();
        if
        :: m && NEEDS_BOTH (v) -> whole = previous[v]; majority ()
        :: else -> skip
        fi;
        assert (!m)
     :: else -> skip
     fi;
     v++
  :: else -> break
  od
}

/* The steps of incarnation w; each is one transition. */
#define EACH(STEP) STEP (0) STEP (1) STEP (2) STEP (3) STEP (4) STEP (5) STEP (6)
#define IS_MEMBER(w) (w < INCARNATIONS && row + 1 < VIEWS && !IS_OVER && HAS (members[row], w))

#define SEE_VIEW(w) \
  :: w < INCARNATIONS && !IS_OVER && !established[row] && HAS (alive & previous[row], w) \
     && seen_view[w] < row -> seen_view[w] = row

/* A new process registers at the address of w, which proves w dead. */
#define REPLACE(w) \
  :: IS_MEMBER (w) && started < INCARNATIONS -> \
     d_step { slot[started] = slot[w]; kill (w); set = members[row] & ~BIT (w); join () }

/* w is lost, and has been missing from the platform's list for longer than its lag. */
#define REMOVE(w) \
  :: IS_MEMBER (w) -> \
     d_step { kill (w); write_row (members[row] & ~BIT (w), 0) }

#ifdef ALIVE_TAKEN_OVER
#define kill(w) skip
#else
#define kill(w) alive = alive & ~BIT (w)
#endif

/* The process `started` starts and registers in addition to those of `set`. */
inline join ()
{
  set = set | BIT (started);
  alive = alive | BIT (started);
  may_apply = may_apply | BIT (started);
  started++;
  write_row (set, 0);
  clear ()
}

active proctype site ()
{
  d_step {
    members[1] = BIT (FIRST) - 1;
    established[1] = 1;
    do
    :: i < INCARNATIONS -> slot[i] = i; i++
    :: else -> break
    od;
    i = 0
  }
  do
  :: !head -> d_step { head = 1; may_apply = alive } /* the patch becomes durable */
  EACH (SEE_VIEW)
  EACH (REPLACE)
  EACH (REMOVE)
  /* A new process registers at an address of its own. */
  :: started < INCARNATIONS && row + 1 < VIEWS && !IS_OVER ->
     d_step { set = members[row]; join () }
  /* The pending view is established. */
  :: row + 1 < VIEWS && !IS_OVER && !established[row] && members[row] != 0 ->
     d_step {
       find_confirmed ();
       part = set;
       whole = previous[row];
       majority ();
       if
       :: m -> write_row (members[row], 1)
       :: else -> skip
       fi;
       clear ()
     }
  /* Any subset of may_apply has applied the patch; it is accepted if that is a majority. */
  :: head && !accepted ->
     atomic {
       accepted = 1;
       do
       :: i < INCARNATIONS && HAS (may_apply, i) -> applied = applied | BIT (i); i++
       :: i < INCARNATIONS -> i++
       :: i == INCARNATIONS -> break
       od;
       d_step {
         part = applied;
         whole = VOTERS;
         majority ();
         if
         :: m -> check ()
         :: else -> accepted = 2
         fi;
         clear ()
       }
     }
#ifdef GO_ON
  :: accepted == 1 -> d_step { check (); clear () }
#endif
  :: IS_OVER || row + 1 == VIEWS -> break
  od
}
