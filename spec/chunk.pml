/* The lease of a chunk with one item, which is idempotent or not, and may kill its worker.
 * Two VMs claim, dispatch, write and crash; a caller may cancel; the job's home ends the job.
 * A pause is any interleaving in which a VM takes no step. Answers of writes may be lost.
 *
 * broken variants, each of which must be caught:
 */
// broken: NO_FENCE
// broken: WALL_CLOCK_EXPIRY
// broken: COUNT_AFTER_DISPATCH
// broken: CANCEL_UNFENCED
// broken: NO_CHECK_AFTER_CLAIM

#define LEASE 2        /* ticks for which a reader must have seen one version */
#define STOP 1         /* ticks after which the holder stops by its own clock */
#define SKEW 2         /* ticks by which the wall clock of VM 2 is ahead */
#define MAX_TIME 4
#define MAX_VERSION 5
#define MAX_CRASHES 2
#define MAX_ATTEMPTS 2

#define OPEN 0
#define INTENDED 1
#define DONE 2
#define FAILED 3
#define UNKNOWN 4
#define CANCELLED_ITEM 5
#define FINAL(s) (s >= DONE)

#define RUNNING 0
#define CANCELLING 1
#define CANCELLED 2
#define COMPLETED 3

#ifdef WALL_CLOCK_EXPIRY
#define WALL (now + (id - 1) * SKEW)
#define STAMP WALL
byte stamp;
#else
#define STAMP 0
#endif

bool once;             /* the item is not idempotent */
byte now, crashes;

/* the chunk's record; version 0 means that it does not exist */
byte version, owner, fence, attempts, item;

/* the job's head, with the outcome that its end made final */
byte state, outcome;
bool unclaimed;

byte sent;             /* the number of dispatches */

inline put(newOwner, newFence, newItem, newAttempts, newStamp) {
  assert(!FINAL(item) || item == newItem);
  assert(state < CANCELLED || unclaimed || newItem == outcome);
  version++;
  owner = newOwner; fence = newFence; item = newItem; attempts = newAttempts;
#ifdef WALL_CLOCK_EXPIRY
  stamp = newStamp
#endif
}

inline forget() {
  held = false; pending = false; lost = false; ready = false; begun = false; stopping = false;
  hand = 0; li = 0; latt = 0; lfence = 0; lversion = 0; since = 0; start = 0; seen = 0; seenAt = 0
}

proctype VM(byte id) {
  byte seen, seenAt;            /* the version seen and since when, as the job's home judges it */
  bool held, pending, lost;     /* pending: claim sent, not confirmed; lost: a write is unresolved */
  bool stopping;                /* the job is being cancelled */
  bool ready, begun;            /* a durable intent and not sent; sent */
  byte hand;                    /* outcome in hand */
  byte li, latt;                /* the record as this VM last read or wrote it */
  byte lfence, lversion, since, start, next;
end:
  do
  /* Table.Listed, Table.Reported: a new version starts the wait anew */
  :: atomic { !held && !pending && seen != version && !FINAL(item) -> seen = version; seenAt = now }

  /* Claim: read the record that was offered */
  :: atomic { !held && !pending && version < MAX_VERSION && seen == version && state == RUNNING && !FINAL(item) &&
#ifdef WALL_CLOCK_EXPIRY
      (owner == 0 || WALL >= stamp + LEASE) ->
#else
      (owner == 0 || now - seenAt >= LEASE) ->
#endif
      start = now; lversion = version; lfence = fence + 1; li = item; latt = attempts;
      if
      :: li == INTENDED && once -> li = UNKNOWN
      :: li == INTENDED && !once && latt >= MAX_ATTEMPTS -> li = FAILED
      :: li == INTENDED && !once && latt < MAX_ATTEMPTS -> li = OPEN
      :: else
      fi;
      ready = (li == OPEN);
#ifndef COUNT_AFTER_DISPATCH
      if :: li == OPEN -> li = INTENDED; latt++ :: else fi;
#endif
      seen = 0; seenAt = 0;
      pending = true }

  /* the conditional write of the claim; its answer may be lost */
  :: atomic { pending && !lost && !held ->
      if
      :: version == lversion && version < MAX_VERSION ->
          put(id, lfence, li, latt, STAMP);
          lversion = version;
          if :: lost = true :: held = true fi
      :: else -> forget()
      fi }

  /* resolve: read the claim back */
  :: atomic { pending && lost && !held ->
      if
      :: owner == id && fence == lfence -> lversion = version; held = true; lost = false
      :: else -> forget()
      fi }

  /* install: read the head after the claim */
  :: atomic { pending && held ->
#ifndef NO_CHECK_AFTER_CLAIM
      if :: state != RUNNING -> stopping = true; ready = false :: else fi;
#endif
      since = start; start = 0; pending = false;
      if :: FINAL(li) -> forget() :: else fi }

  /* Take and Begin with the send: only within the lease by the holder's own clock */
  :: atomic { held && !pending && ready && !stopping && now - since < STOP ->
      ready = false; begun = true; sent++;
      assert(!once || sent <= 1);
      assert(sent <= MAX_ATTEMPTS);
      assert(owner != 3 - id);
      assert(!(once && state >= CANCELLED && outcome == CANCELLED_ITEM)) }

  /* Done, at any time after the send */
  :: atomic { begun && hand == 0 -> hand = DONE }

  /* serveCancelled, checkCancelled */
  :: atomic { held && !pending && !stopping && state != RUNNING -> stopping = true; ready = false }

  /* NextWrite, Hold.Cancel: a checkpoint that renews, or the last record of a cancelled job */
  :: atomic { held && !pending && version < MAX_VERSION && (hand != 0 || stopping || now > since) ->
      next = li;
      if
      :: hand != 0 -> next = hand
      :: hand == 0 && stopping && begun && once -> next = UNKNOWN
      :: hand == 0 && stopping && !(begun && once) -> next = CANCELLED_ITEM
      :: else
      fi;
#ifdef COUNT_AFTER_DISPATCH
      if :: begun && next == OPEN -> next = INTENDED; latt++ :: else fi;
#endif
      if
#ifdef NO_FENCE
      :: true ->
#else
      :: version == lversion ->
#endif
          put(id, lfence, next, latt, STAMP);
          if
          :: lost = true                      /* the answer is lost; the next write meets a conflict */
          :: lversion = version; li = next; since = now;
             if :: FINAL(li) -> forget() :: else fi
          fi
#ifndef NO_FENCE
      :: version != lversion && lost && owner == id && fence == lfence ->
          /* resync: the write whose answer was lost had effect */
          lversion = version; li = item; lost = false;
          if :: FINAL(li) -> forget() :: else fi
      :: version != lversion && !(lost && owner == id && fence == lfence) -> forget()
#endif
      fi;
      next = 0 }

  /* crash, and start again as another process */
  :: atomic { crashes < MAX_CRASHES && (held || pending) -> crashes++; forget() }
  od
}

/* Cancel: one conditional write of the head */
proctype Canceller() {
  if
  :: atomic { state == RUNNING -> state = CANCELLING }
  :: true
  fi
}

/* the job's home: finish, finishCancel, closeChunk */
proctype Home() {
  byte v, i;
end:
  do
  :: atomic { state == RUNNING && FINAL(item) -> state = COMPLETED; outcome = item; break }
  :: atomic { state == CANCELLING && version == 0 ->
      /* listed after the cancellation: nobody had claimed the chunk */
      assert(sent == 0);
      unclaimed = true; outcome = CANCELLED_ITEM; state = CANCELLED; break }
  :: atomic { state == CANCELLING && FINAL(item) ->
      state = CANCELLED; outcome = item;
      assert(!once || outcome != CANCELLED_ITEM || sent == 0);
      break }
  :: atomic { state == CANCELLING && version > 0 && !FINAL(item) -> v = version; i = item };
      atomic {
        if :: i == INTENDED && once -> i = UNKNOWN :: else -> i = CANCELLED_ITEM fi;
        if
#ifdef CANCEL_UNFENCED
        :: true ->
#else
        :: version == v ->
#endif
            put(3, fence + 1, i, attempts, 0)
#ifndef CANCEL_UNFENCED
        :: else
#endif
        fi; v = 0; i = 0 }
  od
}

proctype Clock() {
end:
  do
  :: now < MAX_TIME -> now++
  od
}

init {
  if :: once = true :: once = false fi;
  atomic { run VM(1); run VM(2); run Canceller(); run Home(); run Clock() }
}
