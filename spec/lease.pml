/*
 * Primary leases, fencing and promotion in a group whose commits wait for a
 * replica.
 *
 * An entry VM uses a primary under a primary lease of one term. A failover
 * opens the next term in the control log, fences replicas, orders a promotion,
 * which takes effect at some later step, and assigns the primary that the lease
 * holder of the new term uses. A failover may be interrupted at any point by
 * the next one. Time is not modelled: a lease may end at any step, and waiting
 * until the earlier leases have ended means that no earlier lease is valid.
 *
 * Checked: a read under a lease sees every acknowledged write; a promotion
 * loses no acknowledged write; no write is acknowledged that was made on an old
 * primary after a promotion took effect.
 *
 * Broken variants, one for each safeguard, each of which the check must find
 * faulty:
 *   NO_LEASE_WAIT   a primary is assigned while earlier leases are valid;
 *   RENEW_OLD_TERM  leases of earlier terms are renewed too;
 *   ONE_FENCED      one fenced replica is enough for a promotion;
 *   ANY_FENCED      any fenced replica may be promoted, not only one with the
 *                   longest log.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef WRITES
#define WRITES 2
#endif
#define MEMBERS 3
/* Stands for no member. */
#define NONE 9
#ifdef ONE_FENCED
#define REQUIRED_FENCED 1
#else
#define REQUIRED_FENCED 2
#endif
/* Index into `logs` by member and index in its log. */
#define AT(m, i) ((m) * WRITES + (i))

/* Members. A record is a number, counted from 1 in the order of the writes. */
byte logs[MEMBERS * WRITES];
byte logLength[MEMBERS];
bool isPrimary[MEMBERS];         /* several members may act as a primary */
bool fenced[MEMBERS];            /* a fenced replica receives no records */
byte followed[MEMBERS];          /* the primary that a replica follows */
byte written = 0;                /* the last record */
bool replicated[WRITES + 1];     /* held by a replica: may be acknowledged */
bool acknowledged[WRITES + 1];
bool writtenOnOld[WRITES + 1];   /* after a promotion, on an older primary */
byte latestPrimary = 0;          /* the member promoted last */

/* Control: the newest term, and the primary and the lease of each term. */
byte newestTerm = 1;
byte assignedPrimary[TERMS + 1];
bool leaseValid[TERMS + 1];
byte promotionTarget = NONE;     /* ordered, and no primary assigned since */
byte pendingPromotion = NONE;    /* ordered, and not yet in effect */

/* Scratch variables. They are hidden, so they add no states. */
hidden byte recordNumber, k, i, successor, fencedCount, commonLength;
hidden byte found, earlierLeasesEnded;

/* Sets `found` to whether the log of a member contains a record. */
inline findRecord(member, record) {
  found = false;
  i = 0;
  do
  :: i < logLength[member] ->
     if
     :: logs[AT(member, i)] == record -> found = true
     :: else
     fi;
     i++
  :: else -> break
  od
}

/*
 * Makes a member follow a primary. Its log is cut to the common prefix with
 * the log of the primary.
 */
inline followPrimary(member, primary) {
  followed[member] = primary;
  commonLength = 0;
  do
  :: commonLength < logLength[member] && commonLength < logLength[primary] &&
     logs[AT(member, commonLength)] == logs[AT(primary, commonLength)] ->
     commonLength++
  :: else -> break
  od;
  logLength[member] = commonLength
}

/* Asserts that a member has every acknowledged write. */
inline assertHasAcknowledged(member) {
  recordNumber = 1;
  do
  :: recordNumber <= written ->
     if
     :: acknowledged[recordNumber] ->
        findRecord(member, recordNumber); assert(found)
     :: else
     fi;
     recordNumber++
  :: else -> break
  od
}

/* Sets `earlierLeasesEnded` to whether no lease of an earlier term is valid. */
inline checkEarlierLeases() {
  earlierLeasesEnded = true;
  k = 1;
  do
  :: k < newestTerm ->
     earlierLeasesEnded = earlierLeasesEnded && !leaseValid[k]; k++
  :: else -> break
  od;
#ifdef NO_LEASE_WAIT
  earlierLeasesEnded = true
#endif
}

/* Counts the fenced replicas and selects the one with the longest log. */
inline selectSuccessor() {
  fencedCount = 0;
  successor = NONE;
  k = 0;
  do
  :: k < MEMBERS ->
     if
     :: fenced[k] && !isPrimary[k] ->
        fencedCount++;
#ifdef ANY_FENCED
        successor = k
#else
        if
        :: successor == NONE -> successor = k
        :: else ->
           if
           :: logLength[k] > logLength[successor] -> successor = k
           :: else
           fi
        fi
#endif
     :: else
     fi;
     k++
  :: else -> break
  od
}

active proctype group() {
  /*
   * The lease, by its term, and the member or record that a step concerns. A
   * step that selects one for which it is not enabled changes nothing else.
   */
  byte leaseTerm, selected, promoted;
  isPrimary[0] = true;
  assignedPrimary[1] = 0;
  leaseValid[1] = true;
  do
  /* A write under a lease. */
  :: atomic {
       written < WRITES ->
       select(leaseTerm : 1 .. TERMS);
       if
       :: leaseValid[leaseTerm] && isPrimary[assignedPrimary[leaseTerm]] ->
          selected = assignedPrimary[leaseTerm];
          written++;
          logs[AT(selected, logLength[selected])] = written;
          logLength[selected]++;
          writtenOnOld[written] = (selected != latestPrimary)
       :: else
       fi
     }
  /* A replica receives the next record of the primary that it follows. */
  :: atomic {
       select(selected : 0 .. MEMBERS - 1);
       if
       :: !isPrimary[selected] && !fenced[selected] &&
          isPrimary[followed[selected]] &&
          logLength[selected] < logLength[followed[selected]] ->
          logs[AT(selected, logLength[selected])] =
            logs[AT(followed[selected], logLength[selected])];
          replicated[logs[AT(selected, logLength[selected])]] = true;
          logLength[selected]++
       :: else
       fi
     }
  /* A commit is acknowledged to the caller. */
  :: atomic {
       written > 0 ->
       select(selected : 1 .. WRITES);
       if
       :: selected <= written && replicated[selected] &&
          !acknowledged[selected] ->
          acknowledged[selected] = true;
          assert(!writtenOnOld[selected])
       :: else
       fi
     }
  /* A read under a lease. */
  :: atomic {
       select(leaseTerm : 1 .. TERMS);
       if
       :: leaseValid[leaseTerm] && isPrimary[assignedPrimary[leaseTerm]] ->
          assertHasAcknowledged(assignedPrimary[leaseTerm])
       :: else
       fi
     }
  /* A lease ends. */
  :: atomic {
       select(leaseTerm : 1 .. TERMS);
       leaseValid[leaseTerm] = false
     }
  /* A lease is renewed; only leases of the newest term are. */
  :: atomic {
       select(leaseTerm : 1 .. TERMS);
       if
#ifdef RENEW_OLD_TERM
       :: leaseTerm <= newestTerm && assignedPrimary[leaseTerm] != NONE ->
          leaseValid[leaseTerm] = true
#else
       :: leaseTerm == newestTerm && assignedPrimary[leaseTerm] != NONE ->
          leaseValid[leaseTerm] = true
#endif
       :: else
       fi
     }
  /* A failover opens a term; an earlier promotion order stays in the log. */
  :: atomic {
       newestTerm < TERMS ->
       newestTerm++;
       assignedPrimary[newestTerm] = NONE
     }
  /* The failover fences a replica. */
  :: atomic {
       assignedPrimary[newestTerm] == NONE ->
       select(selected : 0 .. MEMBERS - 1);
       if
       :: !isPrimary[selected] -> fenced[selected] = true
       :: else
       fi
     }
  /* The failover orders a promotion, if enough replicas are fenced. */
  :: atomic {
       assignedPrimary[newestTerm] == NONE && promotionTarget == NONE ->
       selectSuccessor();
       if
       :: fencedCount >= REQUIRED_FENCED ->
          promotionTarget = successor; pendingPromotion = successor
       :: else
       fi
     }
  /* The promotion takes effect: all fences end, the replicas follow. */
  :: atomic {
       pendingPromotion != NONE ->
       promoted = pendingPromotion;
       pendingPromotion = NONE;
       assertHasAcknowledged(promoted);
       isPrimary[promoted] = true;
       latestPrimary = promoted;
       selected = 0;
       do
       :: selected < MEMBERS ->
          fenced[selected] = false;
          if
          :: selected != promoted && !isPrimary[selected] ->
             followPrimary(selected, promoted)
          :: else
          fi;
          selected++
       :: else -> break
       od
     }
  /* An old primary becomes a replica of the latest one. */
  :: atomic {
       select(selected : 0 .. MEMBERS - 1);
       if
       :: isPrimary[selected] && selected != latestPrimary ->
          isPrimary[selected] = false;
          followPrimary(selected, latestPrimary)
       :: else
       fi
     }
  /*
   * Once the earlier leases have ended, the failover assigns the promoted
   * member, or keeps the current primary if no promotion was ordered.
   */
  :: atomic {
       assignedPrimary[newestTerm] == NONE ->
       checkEarlierLeases();
       if
       :: earlierLeasesEnded && promotionTarget != NONE &&
          isPrimary[promotionTarget] && latestPrimary == promotionTarget ->
          assignedPrimary[newestTerm] = promotionTarget;
          promotionTarget = NONE;
          leaseValid[newestTerm] = true
       :: earlierLeasesEnded && promotionTarget == NONE &&
          isPrimary[latestPrimary] ->
          assignedPrimary[newestTerm] = latestPrimary;
          promotionTarget = NONE;
          leaseValid[newestTerm] = true
       :: else
       fi
     }
  od
}
