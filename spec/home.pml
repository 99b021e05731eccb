/* The home of jobs: a lease in the object service, and the results of one job in chunks, each of which
 * takes a number by one conditional create. Two homes take the lease from each other and list the
 * job's items; answers of writes may be lost, and a home may pause at any step and go on without
 * noticing that it was replaced. A reader asks homes that are sure, and the object service.
 *
 * broken variants, each of which must be caught:
 */
// broken: UNCONDITIONAL_APPEND
// broken: NO_SEAL
// broken: LONG_LEASE
// broken: APPEND_AT_END
// broken: ANSWER_UNRESOLVED

#ifdef LONG_LEASE
#define LEASE 5
#else
#define LEASE 3        /* ticks for which a home is sure after its renewal */
#endif
#define TAKEOVER 2     /* ticks for which a candidate has seen a lease unchanged */
#define SETTLE 1       /* ticks after which what was read must be read again */
#define MAX_TIME 5
#define MAX_CHUNKS 4
#define NOBODY 2
#define SEAL 0         /* a chunk without results; others hold item 1 or 2 */

byte now;

/* the object service */
byte holder = NOBODY, renewed, term;
byte chunks;
byte chunk[MAX_CHUNKS], chunkTerm[MAX_CHUNKS];

/* the homes: their terms, when they are sure, and the chunks that they know */
byte ownTerm[2], sureFrom[2], sureUntil[2], known[2];
byte view[8];
bool unresolved[2];    /* the home doesn't know what became of its last write */

/* the reader: the most chunks that it was shown, and when */
byte shown, shownAt;

#define SURE(h) (ownTerm[h] > 0 && now >= sureFrom[h] && now < sureUntil[h])
/* a home knows a job as soon as the last chunk that it knows is its own */
#define SEALED(h) (known[h] > 0 && chunkTerm[known[h] - 1] == ownTerm[h])
#define KNOWS(h, item) ((known[h] > 0 && view[h * 4] == item) || (known[h] > 1 && view[h * 4 + 1] == item) || (known[h] > 2 && view[h * 4 + 2] == item) || (known[h] > 3 && view[h * 4 + 3] == item))

inline load(h) {
  unresolved[h] = false;
  known[h] = 0;
  do
  :: known[h] < chunks ->
     view[h * 4 + known[h]] = chunk[known[h]];
     if :: chunkTerm[known[h]] > ownTerm[h] -> ownTerm[h] = 0 :: else fi;
     known[h]++
  :: else -> break
  od
}

/* append writes a chunk under the number that the home believes to be next. A home that meets a chunk of
 * a later term has been replaced and stops. */
inline append(h, content) {
  k = known[h];
#ifdef APPEND_AT_END
  k = chunks;
#endif
  if
#ifdef UNCONDITIONAL_APPEND
  :: k < MAX_CHUNKS ->
     chunk[k] = content; chunkTerm[k] = ownTerm[h];
     if :: k >= chunks -> chunks = k + 1 :: else fi;
     load(h)
#else
  :: k < MAX_CHUNKS && k == chunks ->
     chunk[k] = content; chunkTerm[k] = ownTerm[h]; chunks++;
     if :: load(h) :: unresolved[h] = true /* the answer is lost */ fi
  :: k < chunks ->
     if
     :: chunkTerm[k] > ownTerm[h] -> ownTerm[h] = 0
     :: else -> load(h)
     fi
#endif
  :: else
  fi;
  assert(chunks < 2 || chunk[0] == SEAL || chunk[0] != chunk[1]);
  assert(chunks < 3 || chunk[2] == SEAL || (chunk[2] != chunk[0] && chunk[2] != chunk[1]));
  assert(chunks < 4 || chunk[3] == SEAL || (chunk[3] != chunk[0] && chunk[3] != chunk[1] && chunk[3] != chunk[2]))
}

proctype Home(byte h) {
  byte k, item;
  do
  :: atomic { holder != h && (holder == NOBODY || now >= renewed + TAKEOVER) && now < MAX_TIME && term < 3 ->
       term++; ownTerm[h] = term;
       sureFrom[h] = now;
       if :: holder != NOBODY -> sureFrom[h] = renewed + LEASE :: else fi;
       sureUntil[h] = now + LEASE; holder = h; renewed = now;
       load(h) }
#ifndef NO_SEAL
     /* not sure before the seal is written: the job is not known to the home until then */
     do
     :: atomic { ownTerm[h] > 0 && !SEALED(h) && known[h] < MAX_CHUNKS && now < MAX_TIME -> append(h, SEAL) }
     :: atomic { ownTerm[h] > 0 && !SEALED(h) && known[h] == MAX_CHUNKS -> ownTerm[h] = 0 }
     :: ownTerm[h] == 0 || SEALED(h) || now == MAX_TIME -> break
     od
#endif
  :: atomic { holder == h && ownTerm[h] == term && now < MAX_TIME && renewed < now ->
       renewed = now; sureUntil[h] = now + LEASE }
  :: atomic { ownTerm[h] > 0 && now < MAX_TIME ->
       if :: item = 1 :: item = 2 fi;
       if
       :: KNOWS(h, item)
       :: else -> append(h, item)
       fi }
  :: now == MAX_TIME -> break
  od
}

#ifdef ANSWER_UNRESOLVED
#define LOADED(h) SEALED(h)
#else
#ifdef NO_SEAL
#define LOADED(h) (!unresolved[h])
#else
#define LOADED(h) (SEALED(h) && !unresolved[h])
#endif
#endif

proctype Reader() {
  byte h;
  do
  :: atomic { now < MAX_TIME -> if :: h = 0 :: h = 1 fi;
       if
       :: SURE(h) && LOADED(h) ->
          assert(known[h] >= shown || now <= shownAt + SETTLE);
          if :: known[h] > shown -> shown = known[h]; shownAt = now :: else fi
       :: else
       fi }
  /* a read of the object service */
  :: atomic { now < MAX_TIME && chunks > shown -> shown = chunks; shownAt = now }
  :: now == MAX_TIME -> break
  od
}

proctype Clock() {
  do
  :: atomic { now < MAX_TIME -> now++ }
  :: else -> break
  od
}

init {
  atomic {
    run Home(0);
    run Home(1);
    run Reader();
    run Clock()
  }
}
