/* The home of jobs: a lease in the object service, and the results of one job in numbered chunks, each
 * written by one conditional create. Two homes acquire the lease in turn and append the results of the
 * job's items; answers of writes may be lost, and a home may pause at any step and continue without
 * noticing that it was replaced. A reader reads from homes whose lease is valid, and from the object
 * service.
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
#define LEASE 3        /* ticks for which the lease is valid after its renewal */
#endif
#define TAKEOVER 2     /* ticks without a renewal after which a candidate may acquire the lease */
#define MAX_STALENESS 1 /* ticks after which each answer must include what was read before */
#define MAX_TIME 5
#define MAX_CHUNKS 4
#define NOBODY 2
#define SEAL 0         /* a chunk without results; the others contain item 1 or 2 */

byte now;

/* the object service */
byte holder = NOBODY, renewed, term;
byte chunks;
byte chunk[MAX_CHUNKS], chunkTerm[MAX_CHUNKS];

/* the homes: their terms, when their leases are valid, and the chunks that they have loaded */
byte ownTerm[2], validFrom[2], validUntil[2], loaded[2];
byte view[8];
bool unresolved[2];    /* the outcome of the home's last write is unknown */

/* the reader: the greatest number of chunks that it has read, and when */
byte shown, shownAt;

#define LEASE_VALID(h) (ownTerm[h] > 0 && now >= validFrom[h] && now < validUntil[h])
/* a job is sealed at a home once the last chunk that the home has loaded is of its own term */
#define SEALED(h) (loaded[h] > 0 && chunkTerm[loaded[h] - 1] == ownTerm[h])
#define HAS_ITEM(h, item) ((loaded[h] > 0 && view[h * 4] == item) || (loaded[h] > 1 && view[h * 4 + 1] == item) || (loaded[h] > 2 && view[h * 4 + 2] == item) || (loaded[h] > 3 && view[h * 4 + 3] == item))

inline load(h) {
  unresolved[h] = false;
  loaded[h] = 0;
  do
  :: loaded[h] < chunks ->
     view[h * 4 + loaded[h]] = chunk[loaded[h]];
     if :: chunkTerm[loaded[h]] > ownTerm[h] -> ownTerm[h] = 0 :: else fi;
     loaded[h]++
  :: else -> break
  od
}

/* append writes a chunk under the number that the home considers next. A home that finds a chunk of
 * a later term has been replaced and stops. */
inline append(h, content) {
  k = loaded[h];
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
       validFrom[h] = now;
       if :: holder != NOBODY -> validFrom[h] = renewed + LEASE :: else fi;
       validUntil[h] = now + LEASE; holder = h; renewed = now;
       load(h) }
#ifndef NO_SEAL
     /* the seal comes first: the home doesn't answer reads of the job before it is written */
     do
     :: atomic { ownTerm[h] > 0 && !SEALED(h) && loaded[h] < MAX_CHUNKS && now < MAX_TIME -> append(h, SEAL) }
     :: atomic { ownTerm[h] > 0 && !SEALED(h) && loaded[h] == MAX_CHUNKS -> ownTerm[h] = 0 }
     :: ownTerm[h] == 0 || SEALED(h) || now == MAX_TIME -> break
     od
#endif
  :: atomic { holder == h && ownTerm[h] == term && now < MAX_TIME && renewed < now ->
       renewed = now; validUntil[h] = now + LEASE }
  :: atomic { ownTerm[h] > 0 && now < MAX_TIME ->
       if :: item = 1 :: item = 2 fi;
       if
       :: HAS_ITEM(h, item)
       :: else -> append(h, item)
       fi }
  :: now == MAX_TIME -> break
  od
}

#ifdef ANSWER_UNRESOLVED
#define CAN_ANSWER(h) SEALED(h)
#else
#ifdef NO_SEAL
#define CAN_ANSWER(h) (!unresolved[h])
#else
#define CAN_ANSWER(h) (SEALED(h) && !unresolved[h])
#endif
#endif

proctype Reader() {
  byte h;
  do
  :: atomic { now < MAX_TIME -> if :: h = 0 :: h = 1 fi;
       if
       :: LEASE_VALID(h) && CAN_ANSWER(h) ->
          assert(loaded[h] >= shown || now <= shownAt + MAX_STALENESS);
          if :: loaded[h] > shown -> shown = loaded[h]; shownAt = now :: else fi
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
