/*
 * Quotas: grants of one organisation while its coordinator changes.
 *
 * Two VMs may coordinate the organisation, each by its own list of VMs; the
 * lists change at different times. A coordinator that takes over grants only
 * when the other one does not: the other answers that it has given up, or it
 * does not answer for HANDOVER ticks. A third VM serves the callers. A grant may
 * be lost, and any VM may be frozen; a frozen VM runs nothing, and time goes on.
 * A coordinator that was frozen for RESTART ticks counts as a new one.
 *
 * Time is counted in ticks, in each of which the rate yields one operation. The
 * parts of a bucket that the coordinator's own outstanding grants may still use
 * are withheld from filling until they have expired.
 *
 * Checked: in any window, the operations that run are at most the burst, what
 * the rate yields in the window, and VALIDITY operations.
 *
 * Broken variants, one for each safeguard, each of which the check must find
 * faulty:
 *   FULL_START     a new coordinator begins with a full bucket;
 *   NO_CLAIM       a new coordinator does not ask the former one;
 *   NO_RESTART     a coordinator that was frozen grants as before;
 *   NO_EXPIRY      a VM that was frozen uses its old grants;
 *   NO_WITHHOLDING buckets fill whatever is outstanding.
 */
#ifndef TICKS
#define TICKS 5
#endif
#ifndef BURST
#define BURST 2
#endif
/* A grant may be used in the tick in which it was requested, and the next. */
#define VALIDITY 2
#define HANDOVER 2
#define RESTART 2
#define CAPACITY (BURST + VALIDITY)

byte now = 0;
byte level[2];
byte outstanding[2];             /* granted, and perhaps not used yet */
byte grantAge[2];                /* ticks since the newest grant */
bool owns[2];                    /* by the VM's own list */
bool grants[2];                  /* has taken over, and may grant */
byte frozenFor[2];               /* 0 if the VM runs, else 1 + ticks */
byte unanswered[2];              /* ticks for which its claim has no answer */
byte changes = 0;                /* changes of the lists */
byte freezes = 0;

byte inFlight = 0;               /* granted, on the way to the callers' VM */
byte inFlightAge = 0;            /* ticks since the oldest was requested */
byte held = 0;                   /* the allowance of the callers' VM */
byte heldAge = 0;
bool vmFrozen = false;

bool windowOpen = false;
byte windowStart = 0;
byte ran = 0;                    /* operations in the window */

/* Lets a coordinator begin to grant. */
inline activate(c) {
  grants[c] = true;
  outstanding[c] = 0;
  grantAge[c] = 0;
#ifdef FULL_START
  level[c] = BURST
#else
  level[c] = 0
#endif
}

inline giveUp(c) {
  grants[c] = false;
  level[c] = 0;
  outstanding[c] = 0;
  unanswered[c] = 0
}

/* Lets one tick pass for a coordinator. */
inline tick(c) {
  if
  :: frozenFor[c] > 0 -> frozenFor[c]++
  :: else ->
     if
     :: outstanding[c] > 0 ->
        grantAge[c]++;
        if
        :: grantAge[c] > VALIDITY -> outstanding[c] = 0
        :: else
        fi
     :: else
     fi;
     if
#ifdef NO_WITHHOLDING
     :: grants[c] && level[c] < CAPACITY -> level[c]++
#else
     :: grants[c] && level[c] < BURST &&
        level[c] + outstanding[c] < CAPACITY -> level[c]++
#endif
     :: else
     fi;
     if
     :: owns[c] && !grants[c] && frozenFor[1 - c] > 0 -> unanswered[c]++
     :: else -> unanswered[c] = 0
     fi
  fi
}

active proctype quota() {
  byte c;
  owns[0] = true;
  grants[0] = true;
  level[0] = BURST;
  do
  /* Time passes. */
  :: atomic {
       now < TICKS ->
       now++;
       tick(0);
       tick(1);
       if
       :: inFlight > 0 -> inFlightAge++
       :: else
       fi;
       if
       :: held > 0 -> heldAge++
       :: else
       fi
     }
  /* A coordinator grants one operation. */
  :: atomic {
       select(c : 0 .. 1);
       if
       :: owns[c] && grants[c] && frozenFor[c] == 0 && level[c] > 0 ->
          level[c]--;
          outstanding[c]++;
          grantAge[c] = 0;
          inFlight++
       :: else
       fi
     }
  /* All grants on the way are lost. */
  :: atomic { inFlight > 0 -> inFlight = 0; inFlightAge = 0 }
  /* They arrive; a grant counts as requested when the oldest one was. */
  :: atomic {
       inFlight > 0 && !vmFrozen ->
       if
       :: held == 0 -> heldAge = inFlightAge
       :: else -> heldAge = (heldAge > inFlightAge -> heldAge : inFlightAge)
       fi;
       held = held + inFlight;
       inFlight = 0;
       inFlightAge = 0
     }
  /* The callers' VM runs an operation, or drops what has expired. */
  :: atomic {
       held > 0 && !vmFrozen ->
       if
#ifndef NO_EXPIRY
       :: heldAge >= VALIDITY -> held = 0; heldAge = 0
       :: heldAge < VALIDITY ->
#else
       :: true ->
#endif
          held--;
          if
          :: held == 0 -> heldAge = 0
          :: else
          fi;
          if
          :: windowOpen ->
             ran++;
             assert(ran <= BURST + (now - windowStart) + VALIDITY)
          :: else
          fi
       fi
     }
  /* The window begins at any time. */
  :: atomic { !windowOpen -> windowOpen = true; windowStart = now }
  /* A VM's list names another coordinator; two changes at most. */
  :: atomic {
       changes < 2 ->
       select(c : 0 .. 1);
       if
       :: frozenFor[c] == 0 ->
          changes++;
          owns[c] = !owns[c];
          giveUp(c)
       :: else
       fi
     }
  /* A coordinator takes over. */
  :: atomic {
       select(c : 0 .. 1);
       if
       :: owns[c] && !grants[c] && frozenFor[c] == 0 &&
#ifdef NO_CLAIM
          true ->
#else
          (frozenFor[1 - c] == 0 -> !grants[1 - c] :
                                    unanswered[c] >= HANDOVER) ->
#endif
          activate(c)
       :: else
       fi
     }
  /* A VM is frozen, and goes on. */
  :: atomic { freezes < 1 && !vmFrozen -> freezes++; vmFrozen = true }
  :: atomic { vmFrozen -> vmFrozen = false }
  :: atomic {
       freezes < 1 ->
       select(c : 0 .. 1);
       if
       :: frozenFor[c] == 0 -> freezes++; frozenFor[c] = 1
       :: else
       fi
     }
  :: atomic {
       select(c : 0 .. 1);
       if
       :: frozenFor[c] > 0 ->
#ifndef NO_RESTART
          if
          :: frozenFor[c] > RESTART -> giveUp(c)
          :: else
          fi;
#endif
          frozenFor[c] = 0
       :: else
       fi
     }
  od
}
