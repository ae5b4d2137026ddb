/*
 * Leases, fences and promotions in a group whose commits wait for a replica.
 *
 * An entry VM uses a primary under a lease of one term. A round opens the next
 * term in the control log, fences replicas, orders a promotion, which takes
 * effect at some later step, and names the new term's user. Rounds follow each
 * other at any point of the one before. A lease may end at any step; what
 * waiting it out means here is that no earlier lease is valid any more.
 *
 * Checked: a read under a lease shows every acknowledged write; a promotion
 * loses none; nothing that is written at an old primary after a promotion took
 * effect is acknowledged.
 *
 * Broken variants, one for each guard: NO_LEASE_WAIT, RENEW_OLD_TERM,
 * ONE_FENCED and ANY_FENCED.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef WRITES
#define WRITES 2
#endif
#define MEMBERS 3
#define NOBODY 9
#ifdef ONE_FENCED
#define NEEDED 1
#else
#define NEEDED 2
#endif
#define AT(m, i) ((m) * WRITES + (i))

/* Members: a log of records, numbered in the order of their writing. */
byte logs[MEMBERS * WRITES];
byte length[MEMBERS];
bool leads[MEMBERS];
bool fenced[MEMBERS];
byte source[MEMBERS];
byte written = 0;
bool received[WRITES + 1];     /* a replica holds it: it may be acknowledged */
bool acknowledged[WRITES + 1];
bool afterPromotion[WRITES + 1]; /* written where another one led already */
byte latest = 0;               /* who was promoted last */

/* Control: the newest term, and who leads and may be used in each. */
byte term = 1;
byte appointed[TERMS + 1];
bool lease[TERMS + 1];
byte promoting = NOBODY;       /* ordered in the newest term */
byte ordered = NOBODY;         /* accepted, and not yet in effect */

hidden byte m, k, i, best, count, cut;
hidden byte holds, quiet;

inline contains(who, record) {
  holds = false;
  i = 0;
  do
  :: i < length[who] ->
     if
     :: logs[AT(who, i)] == record -> holds = true
     :: else
     fi;
     i++
  :: else -> break
  od
}

/* What a member holds beyond its common part with the primary is undone. */
inline follow(who, primary) {
  source[who] = primary;
  cut = 0;
  do
  :: cut < length[who] && cut < length[primary] &&
     logs[AT(who, cut)] == logs[AT(primary, cut)] -> cut++
  :: else -> break
  od;
  length[who] = cut
}

inline assertHoldsAll(who) {
  m = 1;
  do
  :: m <= written ->
     if
     :: acknowledged[m] -> contains(who, m); assert(holds)
     :: else
     fi;
     m++
  :: else -> break
  od
}

/* Whether no lease of an earlier term is valid. */
inline earlierLeasesOver() {
  quiet = true;
  k = 1;
  do
  :: k < term -> quiet = quiet && !lease[k]; k++
  :: else -> break
  od;
#ifdef NO_LEASE_WAIT
  quiet = true
#endif
}

/* The fenced replicas, and the one with the longest log. */
inline chooseFenced() {
  count = 0;
  best = NOBODY;
  k = 0;
  do
  :: k < MEMBERS ->
     if
     :: fenced[k] && !leads[k] ->
        count++;
#ifdef ANY_FENCED
        best = k
#else
        if
        :: best == NOBODY -> best = k
        :: else ->
           if
           :: length[k] > length[best] -> best = k
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
  byte user, who, next;
  leads[0] = true;
  appointed[1] = 0;
  lease[1] = true;
  do
  /* A write under a lease. */
  :: atomic {
       written < WRITES ->
       select(user : 1 .. TERMS);
       if
       :: lease[user] && leads[appointed[user]] ->
          who = appointed[user];
          written++;
          logs[AT(who, length[who])] = written;
          length[who]++;
          afterPromotion[written] = (who != latest)
       :: else
       fi
     }
  /* A replica receives the next record. */
  :: atomic {
       select(who : 0 .. MEMBERS - 1);
       if
       :: !leads[who] && !fenced[who] && leads[source[who]] &&
          length[who] < length[source[who]] ->
          logs[AT(who, length[who])] = logs[AT(source[who], length[who])];
          received[logs[AT(who, length[who])]] = true;
          length[who]++
       :: else
       fi
     }
  /* The caller hears of a commit. */
  :: atomic {
       written > 0 ->
       select(who : 1 .. WRITES);
       if
       :: who <= written && received[who] && !acknowledged[who] ->
          acknowledged[who] = true;
          assert(!afterPromotion[who])
       :: else
       fi
     }
  /* A read under a lease. */
  :: atomic {
       select(user : 1 .. TERMS);
       if
       :: lease[user] && leads[appointed[user]] ->
          assertHoldsAll(appointed[user])
       :: else
       fi
     }
  /* A lease ends. */
  :: atomic {
       select(user : 1 .. TERMS);
       lease[user] = false
     }
  /* A lease is renewed, in the newest term alone. */
  :: atomic {
       select(user : 1 .. TERMS);
       if
#ifdef RENEW_OLD_TERM
       :: user <= term && appointed[user] != NOBODY -> lease[user] = true
#else
       :: user == term && appointed[user] != NOBODY -> lease[user] = true
#endif
       :: else
       fi
     }
  /* A round opens a term; an order of before stays in the log. */
  :: atomic {
       term < TERMS ->
       term++;
       appointed[term] = NOBODY
     }
  /* It fences a replica. */
  :: atomic {
       appointed[term] == NOBODY ->
       select(who : 0 .. MEMBERS - 1);
       if
       :: !leads[who] -> fenced[who] = true
       :: else
       fi
     }
  /* It orders a promotion. */
  :: atomic {
       appointed[term] == NOBODY && promoting == NOBODY ->
       chooseFenced();
       if
       :: count >= NEEDED -> promoting = best; ordered = best
       :: else
       fi
     }
  /* The promotion takes effect. */
  :: atomic {
       ordered != NOBODY ->
       next = ordered;
       ordered = NOBODY;
       assertHoldsAll(next);
       leads[next] = true;
       latest = next;
       who = 0;
       do
       :: who < MEMBERS ->
          fenced[who] = false;
          if
          :: who != next && !leads[who] -> follow(who, next)
          :: else
          fi;
          who++
       :: else -> break
       od
     }
  /* An old primary becomes a replica. */
  :: atomic {
       select(who : 0 .. MEMBERS - 1);
       if
       :: leads[who] && who != latest ->
          leads[who] = false;
          follow(who, latest)
       :: else
       fi
     }
  /* The round names the promoted member, or keeps the primary that leads. */
  :: atomic {
       appointed[term] == NOBODY ->
       earlierLeasesOver();
       if
       :: quiet && promoting != NOBODY && leads[promoting] &&
          latest == promoting ->
          appointed[term] = promoting;
          promoting = NOBODY;
          lease[term] = true
       :: quiet && promoting == NOBODY && leads[latest] ->
          appointed[term] = latest;
          promoting = NOBODY;
          lease[term] = true
       :: else
       fi
     }
  od
}
