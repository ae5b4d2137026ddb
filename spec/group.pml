/*
 * Acknowledgement, fencing, promotion and rejoining in a database group
 * whose acknowledgements and failovers each need a majority of the members.
 *
 * Checked: every record that was acknowledged in a term is part of the history
 * of each later term, at the same index of the log.
 *
 * Messages are modelled as facts that are never withdrawn: the receiver may
 * process a message at any later step, repeatedly or never. This covers delay,
 * duplication and loss. Failover attempts of different terms run concurrently,
 * as those of two control leaders may: the control log opens each term once
 * (`openedTerm`), and accepts the primary of a term only while no later term
 * has been opened (`primaryAssigned`).
 *
 * A record is represented by the term in which it was written. Together with
 * its index in the log this identifies the record, because a term has one
 * primary, and that primary only appends.
 *
 * Broken variants, each of which the check must find faulty:
 *   NO_FENCE         a member answers a fence command, but does not fence
 *                    itself;
 *   NO_TERM_CHECK    a status counts for an acknowledgement whatever the
 *                    member's terms are;
 *   NO_FENCED_CHECK  a status counts although the member is fenced at a later
 *                    term;
 *   ANY_FENCED       any fenced member may be promoted, not only one with the
 *                    most up-to-date log;
 *   EARLY_ADOPTION   a replica adopts the term of its primary before it has
 *                    all records with which that term started.
 * WITHOUT_RESTARTS leaves out the restarts of members, so that an error is
 * found sooner; the correct model is never checked with it.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef WRITES
#define WRITES 3
#endif
#define MEMBERS 3
#define MAJORITY 2
/* Indices into arrays by member or term and record, and by term and member. */
#define AT(owner, index) ((owner) * WRITES + (index))
#define PAIR(t, m) ((t) * MEMBERS + (m))

/* Persistent state of a member. */
byte logTerm[MEMBERS];       /* the term whose history its log is a prefix of */
byte fencedTerm[MEMBERS];    /* commands of earlier terms are refused */
byte logLength[MEMBERS];
byte logs[MEMBERS * WRITES];
/* Volatile state of a member. */
bool isPrimary[MEMBERS];
byte followedTerm[MEMBERS];  /* the term whose primary it follows, or 0 */
bool logMatches[MEMBERS];    /* its log was cut to a prefix of that history */

/* The control log. */
byte openedTerm = 1;                          /* the latest opened term */
bool primaryAssigned[TERMS + 1];

/* Messages, by term. */
bool fenceAnswered[(TERMS + 1) * MEMBERS];    /* with these two values: */
byte answeredLogTerm[(TERMS + 1) * MEMBERS];
byte answeredLogLength[(TERMS + 1) * MEMBERS];
byte promotionTarget[TERMS + 1];              /* the member plus 1, or 0 */
bool promotionDone[TERMS + 1];                /* the promotion took effect */
byte initialLength[TERMS + 1];                /* length of its log then */
byte historyLength[TERMS + 1];                /* records sent by the primary */
byte history[(TERMS + 1) * WRITES];
byte reportedLength[(TERMS + 1) * MEMBERS];   /* the longest log in a status */
byte acknowledgedLength[TERMS + 1];           /* records callers know of */

/* Scratch variables. They are hidden, so they add no states. */
hidden byte earlier, later, recordIndex, commonLength, eachMember;

/* Whether a status of member m counts for an acknowledgement in term t. */
#if defined(NO_TERM_CHECK)
#define STATUS_COUNTS(t, m) true
#elif defined(NO_FENCED_CHECK)
#define STATUS_COUNTS(t, m) (logTerm[m] == t)
#else
#define STATUS_COUNTS(t, m) (logTerm[m] == t && fencedTerm[m] == t)
#endif

/* Whether member m accepts the command to become the primary of term t. */
#ifdef NO_FENCE
#define ACCEPTS_PROMOTION(t, m) (fencedTerm[m] <= t)
#else
#define ACCEPTS_PROMOTION(t, m) (fencedTerm[m] == t)
#endif

/* Whether, by the fence answers, `other` has a more up-to-date log than m. */
#ifdef ANY_FENCED
#define MORE_UP_TO_DATE(t, other, m) false
#else
#define MORE_UP_TO_DATE(t, other, m) (fenceAnswered[PAIR(t, other)] && \
  (answeredLogTerm[PAIR(t, other)] > answeredLogTerm[PAIR(t, m)] || \
   (answeredLogTerm[PAIR(t, other)] == answeredLogTerm[PAIR(t, m)] && \
    answeredLogLength[PAIR(t, other)] > answeredLogLength[PAIR(t, m)])))
#endif

/* Whether replica m has all records with which the term it follows started. */
#ifdef EARLY_ADOPTION
#define CAUGHT_UP(m) true
#else
#define CAUGHT_UP(m) (logLength[m] >= initialLength[followedTerm[m]])
#endif

#define FENCE_ANSWERS(t) (fenceAnswered[PAIR(t, 0)] + \
  fenceAnswered[PAIR(t, 1)] + fenceAnswered[PAIR(t, 2)])
/* Whether m has reported that it holds the next record to acknowledge in t. */
#define HOLDS_NEXT(t, m) (reportedLength[PAIR(t, m)] > acknowledgedLength[t])
#define COPIES_OF_NEXT(t) (HOLDS_NEXT(t, 0) + HOLDS_NEXT(t, 1) + \
  HOLDS_NEXT(t, 2))

/*
 * Asserts that what was acknowledged in a term is in the history of every
 * later term.
 *
 * Spin accepts no d_step that ends with a loop. A step that would end with one
 * or with this inline therefore ends with an assignment to a scratch variable.
 */
inline assertAcknowledgedKept() {
  for (earlier : 1 .. TERMS) {
    for (later : 1 .. TERMS) {
      if
      :: later > earlier && promotionDone[later] &&
           acknowledgedLength[earlier] > 0 ->
        assert(historyLength[later] >= acknowledgedLength[earlier]);
        recordIndex = 0;
        do
        :: recordIndex < acknowledgedLength[earlier] ->
          assert(history[AT(later, recordIndex)] ==
            history[AT(earlier, recordIndex)]);
          recordIndex++
        :: else -> break
        od
      :: else
      fi
    }
  }
}

/* A replica adopts the term that it follows once its log has caught up. */
inline adoptTermIfCaughtUp(m) {
  if
  :: CAUGHT_UP(m) -> logTerm[m] = followedTerm[m]
  :: else
  fi
}

/* The steps of the failover attempt of one term that concern one member. */
proctype FailoverAttempt(byte t; byte m) {
  do
  /* The member answers the fence command. */
  :: d_step {
      t > 1 && openedTerm >= t && promotionTarget[t] == 0 &&
        fencedTerm[m] <= t && !fenceAnswered[PAIR(t, m)] ->
#ifndef NO_FENCE
      if
      :: fencedTerm[m] < t ->
        fencedTerm[m] = t; followedTerm[m] = 0; logMatches[m] = false;
        isPrimary[m] = false
      :: else
      fi;
#endif
      fenceAnswered[PAIR(t, m)] = true;
      answeredLogTerm[PAIR(t, m)] = logTerm[m];
      answeredLogLength[PAIR(t, m)] = logLength[m]
    }
#ifndef NO_FENCE
  /* A fence command arrives after a member was chosen for promotion. */
  :: d_step {
      t > 1 && promotionTarget[t] > 0 && fencedTerm[m] < t ->
      fencedTerm[m] = t; followedTerm[m] = 0; logMatches[m] = false;
      isPrimary[m] = false
    }
#endif
  /*
   * The member is chosen for promotion: a majority has answered, and no answer
   * shows a more up-to-date log. The answers are not needed any more.
   */
  :: d_step {
      promotionTarget[t] == 0 && fenceAnswered[PAIR(t, m)] &&
        FENCE_ANSWERS(t) >= MAJORITY && !MORE_UP_TO_DATE(t, 0, m) &&
        !MORE_UP_TO_DATE(t, 1, m) && !MORE_UP_TO_DATE(t, 2, m) ->
      promotionTarget[t] = m + 1;
      for (eachMember : 0 .. MEMBERS - 1) {
        fenceAnswered[PAIR(t, eachMember)] = false;
        answeredLogTerm[PAIR(t, eachMember)] = 0;
        answeredLogLength[PAIR(t, eachMember)] = 0
      };
      recordIndex = 0
    }
  /* The promotion takes effect. */
  :: d_step {
      promotionTarget[t] == m + 1 && !promotionDone[t] &&
        ACCEPTS_PROMOTION(t, m) && logTerm[m] != t ->
      logTerm[m] = t; fencedTerm[m] = t; isPrimary[m] = true;
      followedTerm[m] = 0; logMatches[m] = false; promotionDone[t] = true;
      initialLength[t] = logLength[m]; historyLength[t] = logLength[m];
      recordIndex = 0;
      do
      :: recordIndex < logLength[m] ->
        history[AT(t, recordIndex)] = logs[AT(m, recordIndex)]; recordIndex++
      :: else -> break
      od;
      assertAcknowledgedKept();
      recordIndex = 0
    }
  /* The member obeys the command to follow the primary of the term. */
  :: d_step {
      primaryAssigned[t] && promotionTarget[t] != m + 1 &&
        fencedTerm[m] <= t && followedTerm[m] != t &&
        !(isPrimary[m] && logTerm[m] >= t) ->
      fencedTerm[m] = t; isPrimary[m] = false; followedTerm[m] = t;
      logMatches[m] = false
    }
  /* The member reports the length of its log in a status. */
  :: d_step {
      promotionDone[t] && STATUS_COUNTS(t, m) &&
        reportedLength[PAIR(t, m)] < logLength[m] ->
      reportedLength[PAIR(t, m)] = logLength[m]
    }
  od
}

proctype Member(byte m) {
  do
  /* A primary appends a record. */
  :: d_step {
      isPrimary[m] && fencedTerm[m] == logTerm[m] && logLength[m] < WRITES ->
      logs[AT(m, logLength[m])] = logTerm[m];
      history[AT(logTerm[m], logLength[m])] = logTerm[m];
      logLength[m]++;
      historyLength[logTerm[m]] = logLength[m]
    }
  /* A replica cuts its log to the common prefix with the followed history. */
  :: d_step {
      followedTerm[m] > 0 && !logMatches[m] ->
      commonLength = 0;
      do
      :: commonLength < logLength[m] &&
         commonLength < historyLength[followedTerm[m]] &&
         logs[AT(m, commonLength)] ==
           history[AT(followedTerm[m], commonLength)] -> commonLength++
      :: else -> break
      od;
      recordIndex = commonLength;
      do
      :: recordIndex < logLength[m] ->
        logs[AT(m, recordIndex)] = 0; recordIndex++
      :: else -> break
      od;
      logLength[m] = commonLength;
      logMatches[m] = true;
      adoptTermIfCaughtUp(m);
      recordIndex = 0
    }
  /* A replica receives the next record. */
  :: d_step {
      logMatches[m] && logLength[m] < historyLength[followedTerm[m]] ->
      logs[AT(m, logLength[m])] = history[AT(followedTerm[m], logLength[m])];
      logLength[m]++;
      adoptTermIfCaughtUp(m);
      recordIndex = 0
    }
#ifndef WITHOUT_RESTARTS
  /* The process restarts with its persistent state. */
  :: d_step {
      isPrimary[m] || followedTerm[m] > 0 ->
      isPrimary[m] = false; followedTerm[m] = 0; logMatches[m] = false
    }
#endif
  od
}

/* The steps of the control log and of the owner that concern one term. */
proctype Control(byte t) {
  do
  /* The control log opens the term. */
  :: d_step { t > 1 && openedTerm == t - 1 -> openedTerm = t }
  /* The control log accepts the primary of the term. */
  :: d_step {
      promotionDone[t] && !primaryAssigned[t] && openedTerm == t ->
      primaryAssigned[t] = true
    }
  /* The owner of the term's primary acknowledges the next record. */
  :: d_step {
      COPIES_OF_NEXT(t) >= MAJORITY ->
      acknowledgedLength[t]++;
      assertAcknowledgedKept();
      recordIndex = 0
    }
  od
}

/* Member 0 is the primary of term 1; all logs are empty. */
init {
  atomic {
    for (eachMember : 0 .. MEMBERS - 1) {
      logTerm[eachMember] = 1; fencedTerm[eachMember] = 1
    }
    promotionTarget[1] = 1; promotionDone[1] = true;
    primaryAssigned[1] = true; isPrimary[0] = true;
    byte t = 1;
    do
    :: t <= TERMS ->
      run Control(t);
      run FailoverAttempt(t, 0); run FailoverAttempt(t, 1);
      run FailoverAttempt(t, 2);
      t++
    :: else -> break
    od;
    run Member(0); run Member(1); run Member(2)
  }
}
