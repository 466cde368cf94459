/*
 * Model of the two proofs of a grant when messages are delayed, lost or duplicated: see
 * docs/design/configuration.md.
 *
 * MEMBERS stewards of one established view, and the table service. One patch (number 1) withdraws what
 * number 0 allows. Stewards that have not applied it collect evidence that nothing newer is applied,
 * by asks and answers, directly from a member or relayed by another (src/cluster_heartbeat.c), and
 * read the head row (src/cluster_state.c). Time advances in ticks. The age of evidence is counted as in
 * the source: from the send of the ask, plus the age that the answer gives. All ages from GRANT on are
 * equal: such evidence is useless. A message is delayed for any time, duplicated or lost; a frozen or
 * dead steward takes no steps.
 *
 * Property: GRANT ticks after the acceptance no steward that still applies 0 has a grant
 * (src/cluster_grant.c). Evidence of number 1 supports no grant on 0, so that only evidence of 0 is
 * stored. Acceptance counts the stewards that have applied the number, whether others know of it or not.
 *
 * Each of these -D options removes one guard, and must give a counter-example:
 *   FROM_RECEIPT       an answer counts from its receipt instead of the send of its ask
 *   RELAYED_AS_NEW     relayed evidence counts without the age in the answer
 *   ANY_NUMBER         a member that has applied 1 counts like one that has not
 *   HALF               half of the members are enough
 *   HEAD_FROM_RECEIPT  a read of the head row counts from its receipt
 *   ANY_HEAD           a read of the head row counts whatever it returned
 */
#ifndef MEMBERS
#define MEMBERS 3 /* at most 5 */
#endif
#ifndef GRANT
#define GRANT 2
#endif
#ifndef MESSAGES
#define MESSAGES 1 /* in transit at the same time, 1 or 2 */
#endif

#define TABLE MEMBERS /* in `asked`: the ask is a read of the head row */

#ifdef HALF
#define NEEDED (MEMBERS / 2)
#else
#define NEEDED (MEMBERS / 2 + 1)
#endif
#ifdef ANY_NUMBER
#define REPORTS_OLD(w) (1)
#else
#define REPORTS_OLD(w) (!applied[w])
#endif
#ifdef ANY_HEAD
#define SHOWS_OLD (1)
#else
#define SHOWS_OLD (!head)
#endif
#ifdef FROM_RECEIPT
#define AGE_OF_ANSWER 0
#else
#define AGE_OF_ANSWER message[k].age
#endif
#ifdef RELAYED_AS_NEW
#define AGE_OF_RELAYED(w) (message[k].sent_age[w] < GRANT -> message[k].age : GRANT)
#else
#define AGE_OF_RELAYED(w) (AGE_OF_ANSWER + message[k].sent_age[w])
#endif
#ifdef HEAD_FROM_RECEIPT
#define AGE_OF_HEAD 0
#else
#define AGE_OF_HEAD message[k].age
#endif

/* A message of age GRANT proves nothing; discarding it reduces the number of states. */
#if defined (FROM_RECEIPT) || defined (HEAD_FROM_RECEIPT)
#define DISCARDS_OLD 0
#else
#define DISCARDS_OLD 1
#endif

#define OLDER(x) (x < GRANT -> x + 1 : GRANT)

typedef Steward {
  byte age[MEMBERS]; /* of the newest evidence that each member still applied 0 */
  byte head_age      /* of the newest read of the head row that returned 0 */
};

typedef Message {
  byte asker;
  byte asked;
  byte age;           /* since the send of the ask */
  bit is_answered;
  bit is_used;
  byte sent_age[MEMBERS]; /* ages in the answer; that of the asked member is 0 if it applied 0 */
};

Steward steward[MEMBERS];
Message message[MESSAGES];
bit applied[MEMBERS];
bit head = 0;
bit accepted = 0;
byte since = 0; /* ticks since the acceptance, up to GRANT */

byte i, k, n;

/* n = applied stewards */
inline count_applied ()
{
  n = 0;
  i = 0;
  do
  :: i < MEMBERS -> n = n + applied[i]; i++
  :: else -> break
  od
}

/* n = members whose evidence supports a grant of w on number 0 */
inline count_support (w)
{
  n = 0;
  i = 0;
  do
  :: i < MEMBERS && (i == w || steward[w].age[i] < GRANT) -> n++; i++
  :: i < MEMBERS && !(i == w || steward[w].age[i] < GRANT) -> i++
  :: else -> break
  od
}

inline clear ()
{
  i = 0; k = 0; n = 0
}

inline send (w, x, slot)
{
  message[slot].asker = w;
  message[slot].asked = x;
  message[slot].age = 0;
  message[slot].is_answered = 0;
  message[slot].is_used = (w != x);
  i = 0;
  do
  :: i < MEMBERS -> message[slot].sent_age[i] = GRANT; i++
  :: else -> break
  od;
  i = 0
}

inline answer (slot)
{
  k = slot;
  message[k].is_answered = 1;
  i = 0;
  do
  :: message[k].asked == TABLE -> message[k].sent_age[0] = (SHOWS_OLD -> 0 : GRANT); break
  :: message[k].asked != TABLE && i < MEMBERS ->
     if
     :: i == message[k].asked -> message[k].sent_age[i] = (REPORTS_OLD (i) -> 0 : GRANT)
     :: i == message[k].asker -> skip
     :: else -> message[k].sent_age[i] = steward[message[k].asked].age[i]
     fi;
     i++
  :: else -> break
  od;
  clear ()
}

/* Keeps the lower of the known age and the new one. */
inline update_age (w, x, new_age)
{
  if
  :: new_age < steward[w].age[x] -> steward[w].age[x] = new_age
  :: else -> skip
  fi
}

inline receive (slot)
{
  k = slot;
  i = 0;
  do
  :: message[k].asked == TABLE ->
     if
     :: message[k].sent_age[0] < GRANT && AGE_OF_HEAD < steward[message[k].asker].head_age ->
        steward[message[k].asker].head_age = AGE_OF_HEAD
     :: else -> skip
     fi;
     break
  :: message[k].asked != TABLE && i < MEMBERS ->
     if
     :: i == message[k].asked && message[k].sent_age[i] == 0 ->
        update_age (message[k].asker, i, AGE_OF_ANSWER)
     :: i != message[k].asked && i != message[k].asker ->
        n = AGE_OF_RELAYED (i);
        update_age (message[k].asker, i, n)
     :: else -> skip
     fi;
     i++
  :: else -> break
  od;
  clear ()
}

inline tick ()
{
  since = (accepted -> OLDER (since) : 0);
  i = 0;
  do
  :: i < MEMBERS ->
     steward[i].head_age = OLDER (steward[i].head_age);
     k = 0;
     do
     :: k < MEMBERS -> steward[i].age[k] = OLDER (steward[i].age[k]); k++
     :: else -> break
     od;
     i++
  :: else -> break
  od;
  k = 0;
  do
  :: k < MESSAGES ->
     message[k].age = OLDER (message[k].age);
     if
     :: DISCARDS_OLD && message[k].age == GRANT -> send (0, 0, k)
     :: else -> skip
     fi;
     k++
  :: else -> break
  od;
  clear ()
}

#define EACH(STEP) STEP (0) STEP (1) STEP (2) STEP (3) STEP (4)
#define EACH_ASKED(STEP) STEP (0) STEP (1) STEP (2) STEP (3) STEP (4)
#define EACH_MESSAGE(STEP) STEP (0) STEP (1)

/* An ask uses any message slot; a message in it is lost. */
#define ASK(w) \
  :: w < MEMBERS -> \
     atomic { \
       if \
       :: k = 0 \
       :: MESSAGES > 1 -> k = 1 \
       fi; \
       if \
       EACH_ASKED (ASK_MEMBER_##w) \
       :: d_step { send (w, TABLE, k); clear () } \
       fi \
     }
#define ASK_MEMBER(w, x) \
       :: x < MEMBERS && x != w -> d_step { send (w, x, k); clear () }
#define ASK_MEMBER_0(x) ASK_MEMBER (0, x)
#define ASK_MEMBER_1(x) ASK_MEMBER (1, x)
#define ASK_MEMBER_2(x) ASK_MEMBER (2, x)
#define ASK_MEMBER_3(x) ASK_MEMBER (3, x)
#define ASK_MEMBER_4(x) ASK_MEMBER (4, x)

#define APPLY(w) \
  :: w < MEMBERS && head && !applied[w] -> applied[w] = 1

#define CHECK(w) \
  :: w < MEMBERS && accepted && since == GRANT && !applied[w] -> \
     d_step { \
       count_support (w); \
       assert (n < NEEDED && steward[w].head_age == GRANT); \
       clear () \
     }

#define ANSWER(slot) \
  :: slot < MESSAGES && message[slot].is_used && !message[slot].is_answered -> \
     d_step { answer (slot) }

/* The message stays, and may be received again, until an ask uses its slot. */
#define RECEIVE(slot) \
  :: slot < MESSAGES && message[slot].is_answered -> \
     d_step { receive (slot) }

active proctype site ()
{
  d_step {
    do
    :: i < MEMBERS ->
       k = 0;
       do
       :: k < MEMBERS -> steward[i].age[k] = GRANT; k++
       :: else -> break
       od;
       steward[i].head_age = GRANT;
       i++
    :: else -> break
    od;
    clear ();
    send (0, 0, 0);
#if MESSAGES > 1
    send (0, 0, 1);
#endif
  }
  do
  :: !head -> head = 1 /* the patch becomes durable */
  EACH (APPLY)
  EACH (ASK)
  EACH_MESSAGE (ANSWER)
  EACH_MESSAGE (RECEIVE)
  :: d_step { tick () }
  :: head && !accepted ->
     d_step {
       count_applied ();
       if
       :: n >= MEMBERS / 2 + 1 -> accepted = 1
       :: else -> skip
       fi;
       clear ()
     }
  EACH (CHECK)
  od
}
