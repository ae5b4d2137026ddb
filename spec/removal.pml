/*
 * Members that leave a group whose commits wait for a replica.
 *
 * A commit is acknowledged once the primary and any one replica hold it. A
 * replica may leave at any step, and its log is lost with it. Control counts a
 * member that left among the possible holders of a commit until a present
 * replica has received all that the primary held after the removal. The primary
 * may become unreachable; a promotion then needs all possible holders but one
 * to be fenced, and takes the longest log.
 *
 * Checked: a promoted member holds every acknowledged commit.
 *
 * Broken variants, which the check must find faulty:
 *   REMOVED_AT_ONCE   a member that left doesn't count from its removal on;
 *   EARLY_CONFIRM     its log is confirmed without a comparison with the
 *                     primary.
 */
#ifndef WRITES
#define WRITES 2
#endif
#define MEMBERS 4
/* Member 0 is the primary. A log is a count, as records arrive in order. */
byte logLength[MEMBERS];
bool present[MEMBERS];
bool unconfirmed[MEMBERS];   /* left, and still a possible holder */
bool connected[MEMBERS];     /* receives records of the primary */
bool primaryReachable = true;
byte acknowledged = 0;       /* records 1 to this number are acknowledged */
byte holders, fencedCount, longest, k;

inline countHolders() {
  holders = 0; fencedCount = 0; longest = 0; k = 0;
  do
  :: k < MEMBERS ->
     if
     :: present[k] || unconfirmed[k] -> holders++
     :: else
     fi;
     if
     :: k > 0 && present[k] ->
        fencedCount++;
        if
        :: logLength[k] > longest -> longest = logLength[k]
        :: else
        fi
     :: else
     fi;
     k++
  :: else -> break
  od
}

active proctype group() {
  byte selected;
  k = 0;
  do
  :: k < MEMBERS -> present[k] = true; connected[k] = true; k++
  :: else -> break
  od;
  do
  /* A write on the primary. */
  :: atomic { logLength[0] < WRITES -> logLength[0]++ }
  /* A replica receives the next record. */
  :: atomic {
       select(selected : 1 .. MEMBERS - 1);
       if
       :: present[selected] && connected[selected] &&
          logLength[selected] < logLength[0] -> logLength[selected]++
       :: else
       fi
     }
  /* A commit that a present replica holds is acknowledged. */
  :: atomic {
       select(selected : 1 .. MEMBERS - 1);
       if
       :: present[selected] && logLength[selected] > acknowledged ->
          acknowledged++
       :: else
       fi
     }
  /* A replica is cut off from the primary, or connected again. */
  :: atomic {
       select(selected : 1 .. MEMBERS - 1);
       connected[selected] = !connected[selected]
     }
  /* A replica leaves. */
  :: atomic {
       select(selected : 1 .. MEMBERS - 1);
       if
       :: present[selected] ->
          present[selected] = false;
#ifndef REMOVED_AT_ONCE
          unconfirmed[selected] = true
#else
          skip
#endif
       :: else
       fi
     }
  /* Control compares a present replica with the primary. */
  :: atomic {
       primaryReachable ->
       countHolders();
       if
#ifdef EARLY_CONFIRM
       :: fencedCount > 0 ->
#else
       :: fencedCount > 0 && longest >= logLength[0] ->
#endif
          k = 0;
          do
          :: k < MEMBERS -> unconfirmed[k] = false; k++
          :: else -> break
          od
       :: else
       fi
     }
  :: atomic { primaryReachable -> primaryReachable = false }
  /* A promotion without the primary. */
  :: atomic {
       !primaryReachable ->
       countHolders();
       if
       :: fencedCount >= 2 && fencedCount + 1 >= holders ->
          assert(longest >= acknowledged)
       :: else
       fi;
       break
     }
  od
}
