/*
 * Changes of the control voters: the log of control VMs, to which voters are
 * added and from which they are removed one at a time, and disks that are lost.
 *
 * A disk is a participant. Every entry of a log carries the voters that apply
 * from it on, so the newest entry of a log has the newest voters that the disk
 * knows. A leader is elected by a quorum of the voters in its own log. An entry
 * is acknowledged once a quorum of the voters in the leader's log holds it. A
 * lost disk takes no further part: its VM returns as another participant.
 *
 * Checked: every elected leader holds every acknowledged entry; only one disk
 * leads in a term.
 *
 * Broken variants, one for each safeguard, each of which the check must find
 * faulty:
 *   TWO_AT_ONCE    a change is begun before the earlier one is acknowledged;
 *   NO_TERM_START  a change is begun before an entry of the leader's own term
 *                  is acknowledged;
 *   SAME_IDENTITY  a disk that has lost its content goes on as a voter.
 */
#ifndef DISKS
#define DISKS 4
#endif
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 4
#endif
/* The disks that create the cluster, as bits. */
#ifndef FOUNDERS
#define FOUNDERS 7
#endif
#define NONE 9
#define AT(d, i) ((d) * ENTRIES + (i))
#define HAS(voters, d) (((voters) >> (d)) & 1)

byte entryTerm[DISKS * ENTRIES];
byte entryVoters[DISKS * ENTRIES];
byte logLength[DISKS];
byte term[DISKS];               /* the newest term that a disk has stored */
bool lost[DISKS];
bool diskLost;                  /* one disk is lost at most */
byte leaderOf[TERMS + 1];
byte committed[TERMS + 1];      /* entries that the leader knows to be safe */
byte acknowledgedTerm[ENTRIES]; /* of each acknowledged entry, or 0 */

/* Scratch variables. They are hidden, so they add no states. */
hidden byte k, count, size, voters, changed, allowed;

/* Sets `voters` to the newest voters in a log, or to none. */
inline findVoters(disk) {
  voters = 0;
  if
  :: logLength[disk] > 0 -> voters = entryVoters[AT(disk, logLength[disk] - 1)]
  :: else
  fi
}

/* Sets `size` to the number of `voters`. */
inline countVoters() {
  size = 0;
  k = 0;
  do
  :: k < DISKS -> size = size + HAS(voters, k); k++
  :: else -> break
  od
}

/* Sets `allowed` to whether the log of `other` is not newer than that of `disk`. */
inline compareLogs(disk, other) {
  if
  :: logLength[other] == 0 -> allowed = true
  :: logLength[other] > 0 && logLength[disk] == 0 -> allowed = false
  :: else ->
     if
     :: entryTerm[AT(other, logLength[other] - 1)] !=
        entryTerm[AT(disk, logLength[disk] - 1)] ->
        allowed = entryTerm[AT(other, logLength[other] - 1)] <
                  entryTerm[AT(disk, logLength[disk] - 1)]
     :: else -> allowed = logLength[other] <= logLength[disk]
     fi
  fi
}

/* Appends an entry of a term to the log of its leader. */
inline append(disk, newTerm, newVoters) {
  entryTerm[AT(disk, logLength[disk])] = newTerm;
  entryVoters[AT(disk, logLength[disk])] = newVoters;
  logLength[disk]++
}

/* Forgets what the leaders of ended terms knew, which adds no behaviour. */
inline endTerms() {
  k = 1;
  do
  :: k <= TERMS ->
     if
     :: leaderOf[k] != NONE && term[leaderOf[k]] != k -> committed[k] = 0
     :: else
     fi;
     k++
  :: else -> break
  od
}

/* Removes the content of a disk. */
inline clear(disk) {
  k = 0;
  do
  :: k < ENTRIES ->
     entryTerm[AT(disk, k)] = 0;
     entryVoters[AT(disk, k)] = 0;
     k++
  :: else -> break
  od;
  logLength[disk] = 0;
  term[disk] = 0
}

/* Asserts that a new leader holds every acknowledged entry. */
inline assertHoldsAcknowledged(disk) {
  k = 0;
  do
  :: k < ENTRIES ->
     assert(acknowledgedTerm[k] == 0 ||
            (k < logLength[disk] &&
             entryTerm[AT(disk, k)] == acknowledgedTerm[k]));
     k++
  :: else -> break
  od
}

/* Sets `allowed` to whether a leader may begin a change of the voters. */
inline checkChangeAllowed(disk, newTerm) {
  allowed = true;
#ifndef NO_TERM_START
  if
  :: committed[newTerm] == 0 -> allowed = false
  :: else
  fi;
#endif
#ifndef TWO_AT_ONCE
  /* The newest voters must be those of the newest acknowledged entry. */
  if
  :: committed[newTerm] > 0 &&
     entryVoters[AT(disk, committed[newTerm] - 1)] !=
     entryVoters[AT(disk, logLength[disk] - 1)] -> allowed = false
  :: committed[newTerm] == 0 && logLength[disk] > 1 &&
     entryVoters[AT(disk, logLength[disk] - 2)] !=
     entryVoters[AT(disk, logLength[disk] - 1)] -> allowed = false
  :: else
  fi
#endif
}

active proctype cluster() {
  byte disk, other, newTerm, granted;
  append(0, 1, FOUNDERS);
  term[0] = 1;
  leaderOf[1] = 0;
  newTerm = 2;
  do
  :: newTerm <= TERMS -> leaderOf[newTerm] = NONE; newTerm++
  :: else -> break
  od;
  do
  /* A disk is elected by some of its voters. */
  :: atomic {
       select(disk : 0 .. DISKS - 1);
       select(newTerm : 2 .. TERMS);
       findVoters(disk);
       if
       :: !lost[disk] && HAS(voters, disk) && term[disk] < newTerm &&
          logLength[disk] < ENTRIES ->
          granted = 0;
          other = 0;
          do
          :: other < DISKS ->
             if
             :: HAS(voters, other) && !lost[other] && term[other] < newTerm ->
                compareLogs(disk, other);
                if
                :: allowed -> term[other] = newTerm; granted++
                :: other != disk -> skip
                fi
             :: else
             fi;
             other++
          :: else -> break
          od;
          countVoters();
          if
          :: granted > size / 2 ->
             assert(leaderOf[newTerm] == NONE);
             leaderOf[newTerm] = disk;
             assertHoldsAcknowledged(disk);
             append(disk, newTerm, voters)
          :: else
          fi
       :: else
       fi;
       endTerms();
       granted = 0; other = 0
     }
  /* A leader copies its log to another disk. */
  :: atomic {
       select(newTerm : 1 .. TERMS);
       select(other : 0 .. DISKS - 1);
       disk = leaderOf[newTerm];
       if
       :: disk != NONE && disk != other && !lost[disk] && !lost[other] &&
          term[disk] == newTerm && term[other] <= newTerm ->
          term[other] = newTerm;
          k = 0;
          do
          :: k < logLength[disk] ->
             entryTerm[AT(other, k)] = entryTerm[AT(disk, k)];
             entryVoters[AT(other, k)] = entryVoters[AT(disk, k)];
             k++
          :: k >= logLength[disk] && k < ENTRIES ->
             entryTerm[AT(other, k)] = 0;
             entryVoters[AT(other, k)] = 0;
             k++
          :: else -> break
          od;
          logLength[other] = logLength[disk]
       :: else
       fi;
       endTerms();
       disk = 0; other = 0
     }
  /* A leader acknowledges its log, once a quorum holds all of it. */
  :: atomic {
       select(newTerm : 1 .. TERMS);
       disk = leaderOf[newTerm];
       if
       :: disk != NONE && !lost[disk] && term[disk] == newTerm &&
          committed[newTerm] < logLength[disk] ->
          findVoters(disk);
          countVoters();
          count = 0;
          other = 0;
          do
          :: other < DISKS ->
             if
             :: HAS(voters, other) && !lost[other] &&
                logLength[other] >= logLength[disk] &&
                entryTerm[AT(other, logLength[disk] - 1)] == newTerm ->
                count++
             :: else
             fi;
             other++
          :: else -> break
          od;
          if
          :: count > size / 2 ->
             committed[newTerm] = logLength[disk];
             k = 0;
             do
             :: k < logLength[disk] ->
                assert(acknowledgedTerm[k] == 0 ||
                       acknowledgedTerm[k] == entryTerm[AT(disk, k)]);
                acknowledgedTerm[k] = entryTerm[AT(disk, k)];
                k++
             :: else -> break
             od
          :: else
          fi
       :: else
       fi;
       disk = 0; other = 0
     }
  /* A leader begins to add or to remove one voter. */
  :: atomic {
       select(newTerm : 1 .. TERMS);
       select(other : 0 .. DISKS - 1);
       disk = leaderOf[newTerm];
       if
       :: disk != NONE && disk != other && !lost[disk] &&
          term[disk] == newTerm && logLength[disk] < ENTRIES ->
          checkChangeAllowed(disk, newTerm);
          if
          :: allowed ->
             findVoters(disk);
             changed = voters ^ (1 << other);
             append(disk, newTerm, changed)
          :: else
          fi
       :: else
       fi;
       disk = 0; other = 0
     }
  /* A disk loses its content. */
  :: atomic {
       !diskLost ->
       select(disk : 0 .. DISKS - 1);
       diskLost = true;
       clear(disk);
#ifndef SAME_IDENTITY
       lost[disk] = true;
#endif
       endTerms();
       disk = 0
     }
  od
}
