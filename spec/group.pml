/*
 * Acknowledgement, fencing, promotion and return in one database group.
 *
 * A message is a fact that stays: whoever it is for may take it at any later
 * step, again, or never. So messages are late, repeated and lost. Rounds of
 * different terms run side by side, as those of two control leaders do: the
 * control log opens each term once (`begun`), and appoints the term's primary
 * only while no later term has been opened (`appointed`).
 *
 * A record is written as the term that made it; with its place in the log
 * that names it, since a term has one primary, which only appends.
 *
 * Broken variants: NO_FENCE, NO_TERM_CHECK, NO_FENCED_CHECK, ANY_FENCED and
 * EARLY_ADOPTION. WITHOUT_RESTARTS leaves steps out, so that a fault is found
 * sooner; the sound variant is never run with it.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef WRITES
#define WRITES 3
#endif
#define MEMBERS 3
#define MAJORITY 2
#define AT(owner, index) ((owner) * WRITES + (index))
#define PAIR(t, m) ((t) * MEMBERS + (m))

/* A member's disk. */
byte label[MEMBERS];     /* the term whose history its log is a part of */
byte fenced[MEMBERS];    /* it refuses every term before */
byte length[MEMBERS];
byte logs[MEMBERS * WRITES];
/* A member's memory. */
bool leads[MEMBERS];
byte source[MEMBERS];    /* the term whose primary it follows, or 0 */
bool matched[MEMBERS];   /* its log has been cut to a part of that history */

/* The control log. */
byte begun = 1;
bool appointed[TERMS + 1];

/* Messages, by term. */
bool answered[(TERMS + 1) * MEMBERS];      /* a fence was answered, with: */
byte answerLabel[(TERMS + 1) * MEMBERS];
byte answerLength[(TERMS + 1) * MEMBERS];
byte promoted[TERMS + 1];                  /* who is told to lead, plus one */
bool leading[TERMS + 1];                   /* it does so, or did */
byte start[TERMS + 1];                     /* how long its log was then */
byte historyLength[TERMS + 1];             /* the records it has sent */
byte history[(TERMS + 1) * WRITES];
byte stated[(TERMS + 1) * MEMBERS];        /* the longest log in a status */
byte confirmed[TERMS + 1];                 /* what callers were told is done */

hidden byte older, newer, place, cut, each;

/* Whether a status of member m counts for a position in term t. */
#if defined(NO_TERM_CHECK)
#define COUNTS(t, m) true
#elif defined(NO_FENCED_CHECK)
#define COUNTS(t, m) (label[m] == t)
#else
#define COUNTS(t, m) (label[m] == t && fenced[m] == t)
#endif

#ifdef NO_FENCE
#define OBEYS(t, m) (fenced[m] <= t)
#else
#define OBEYS(t, m) (fenced[m] == t)
#endif

#ifdef ANY_FENCED
#define LONGER(t, o, m) false
#else
#define LONGER(t, o, m) (answered[PAIR(t, o)] && \
  (answerLabel[PAIR(t, o)] > answerLabel[PAIR(t, m)] || \
   (answerLabel[PAIR(t, o)] == answerLabel[PAIR(t, m)] && \
    answerLength[PAIR(t, o)] > answerLength[PAIR(t, m)])))
#endif

#ifdef EARLY_ADOPTION
#define COMPLETE(m) true
#else
#define COMPLETE(m) (length[m] >= start[source[m]])
#endif

#define ANSWERS(t) (answered[PAIR(t, 0)] + answered[PAIR(t, 1)] + \
  answered[PAIR(t, 2)])
#define HOLDS(t, m) (stated[PAIR(t, m)] > confirmed[t])
#define HOLDERS(t) (HOLDS(t, 0) + HOLDS(t, 1) + HOLDS(t, 2))

/* What was acknowledged in a term stands in the history of every later one. */
inline checkHistories() {
  for (older : 1 .. TERMS) {
    for (newer : 1 .. TERMS) {
      if
      :: newer > older && leading[newer] && confirmed[older] > 0 ->
        assert(historyLength[newer] >= confirmed[older]);
        place = 0;
        do
        :: place < confirmed[older] ->
          assert(history[AT(newer, place)] == history[AT(older, place)]);
          place++
        :: else -> break
        od
      :: else
      fi
    }
  }
}

inline adoptIfComplete(m) {
  if
  :: COMPLETE(m) -> label[m] = source[m]
  :: else
  fi
}

/* What one member and the round of one term have to do with each other. */
proctype Round(byte t; byte m) {
  do
  :: d_step {
      t > 1 && begun >= t && promoted[t] == 0 && fenced[m] <= t &&
        !answered[PAIR(t, m)] ->
#ifndef NO_FENCE
      if
      :: fenced[m] < t ->
        fenced[m] = t; source[m] = 0; matched[m] = false; leads[m] = false
      :: else
      fi;
#endif
      answered[PAIR(t, m)] = true;
      answerLabel[PAIR(t, m)] = label[m];
      answerLength[PAIR(t, m)] = length[m]
    }
#ifndef NO_FENCE
  /* A fence that comes after the round was over. */
  :: d_step {
      t > 1 && promoted[t] > 0 && fenced[m] < t ->
      fenced[m] = t; source[m] = 0; matched[m] = false; leads[m] = false
    }
#endif
  :: d_step {
      promoted[t] == 0 && answered[PAIR(t, m)] && ANSWERS(t) >= MAJORITY &&
        !LONGER(t, 0, m) && !LONGER(t, 1, m) && !LONGER(t, 2, m) ->
      promoted[t] = m + 1;
      for (each : 0 .. MEMBERS - 1) {
        answered[PAIR(t, each)] = false;
        answerLabel[PAIR(t, each)] = 0;
        answerLength[PAIR(t, each)] = 0
      };
      place = 0
    }
  :: d_step {
      promoted[t] == m + 1 && !leading[t] && OBEYS(t, m) && label[m] != t ->
      label[m] = t; fenced[m] = t; leads[m] = true; source[m] = 0;
      matched[m] = false; leading[t] = true;
      start[t] = length[m]; historyLength[t] = length[m];
      place = 0;
      do
      :: place < length[m] ->
        history[AT(t, place)] = logs[AT(m, place)]; place++
      :: else -> break
      od;
      checkHistories();
      place = 0
    }
  :: d_step {
      appointed[t] && promoted[t] != m + 1 && fenced[m] <= t &&
        source[m] != t && !(leads[m] && label[m] >= t) ->
      fenced[m] = t; leads[m] = false; source[m] = t; matched[m] = false
    }
  :: d_step {
      leading[t] && COUNTS(t, m) && stated[PAIR(t, m)] < length[m] ->
      stated[PAIR(t, m)] = length[m]
    }
  od
}

proctype Member(byte m) {
  do
  :: d_step {
      leads[m] && fenced[m] == label[m] && length[m] < WRITES ->
      logs[AT(m, length[m])] = label[m];
      history[AT(label[m], length[m])] = label[m];
      length[m]++;
      historyLength[label[m]] = length[m]
    }
  /* Cuts the log to what it shares with the history that it follows. */
  :: d_step {
      source[m] > 0 && !matched[m] ->
      cut = 0;
      do
      :: cut < length[m] && cut < historyLength[source[m]] &&
         logs[AT(m, cut)] == history[AT(source[m], cut)] -> cut++
      :: else -> break
      od;
      place = cut;
      do
      :: place < length[m] -> logs[AT(m, place)] = 0; place++
      :: else -> break
      od;
      length[m] = cut;
      matched[m] = true;
      adoptIfComplete(m);
      place = 0
    }
  :: d_step {
      matched[m] && length[m] < historyLength[source[m]] ->
      logs[AT(m, length[m])] = history[AT(source[m], length[m])];
      length[m]++;
      adoptIfComplete(m);
      place = 0
    }
#ifndef WITHOUT_RESTARTS
  /* The process ends and comes back with its disk. */
  :: d_step {
      leads[m] || source[m] > 0 ->
      leads[m] = false; source[m] = 0; matched[m] = false
    }
#endif
  od
}

proctype Control(byte t) {
  do
  :: d_step { t > 1 && begun == t - 1 -> begun = t }
  :: d_step { leading[t] && !appointed[t] && begun == t -> appointed[t] = true }
  /* The owner of the term's primary answers the next waiting caller. */
  :: d_step { HOLDERS(t) >= MAJORITY -> confirmed[t]++; checkHistories(); place = 0 }
  od
}

init {
  atomic {
    for (each : 0 .. MEMBERS - 1) { label[each] = 1; fenced[each] = 1 }
    promoted[1] = 1; leading[1] = true; appointed[1] = true; leads[0] = true;
    byte t = 1;
    do
    :: t <= TERMS ->
      run Control(t);
      run Round(t, 0); run Round(t, 1); run Round(t, 2);
      t++
    :: else -> break
    od;
    run Member(0); run Member(1); run Member(2)
  }
}
