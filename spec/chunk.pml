/* The lease of a chunk with one item, which is idempotent or not, and may crash the VM that runs it.
 * Two VMs claim the chunk, dispatch the item, write the record and crash; a caller may cancel the job;
 * the job's home ends it. A paused VM is an interleaving in which it takes no step. Answers of writes may
 * be lost.
 *
 * broken variants, each of which must be caught:
 */
// broken: NO_FENCE
// broken: WALL_CLOCK_EXPIRY
// broken: COUNT_AFTER_DISPATCH
// broken: CANCEL_UNFENCED
// broken: NO_CHECK_AFTER_CLAIM

#define LEASE 2        /* ticks for which a VM must see one version before it may claim the chunk */
#define STOP 1         /* ticks after which the holder stops dispatching, by its own clock */
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

bool nonIdempotent;    /* the item must be sent at most once */
byte now, crashes;

/* the chunk's record; version 0 means that it does not exist */
byte version, owner, fence, attempts, item;

/* the job's head; outcome is the final state of the item, set when the job ends */
byte state, outcome;
bool unclaimed;        /* the job was cancelled before any VM claimed the chunk */

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

inline resetClaim() {
  held = false; pending = false; unresolved = false; ready = false; started = false; stopping = false;
  result = 0; localItem = 0; localAttempts = 0; localFence = 0; localVersion = 0;
  since = 0; start = 0; seen = 0; seenAt = 0
}

proctype VM(byte id) {
  byte seen, seenAt;              /* the last version seen and since when, as tracked by the job's home */
  /* pending: claim sent, not confirmed; unresolved: outcome of a write unknown */
  bool held, pending, unresolved;
  bool stopping;                  /* the job is being cancelled */
  bool ready, started;            /* ready: intent durable, not sent; started: sent */
  byte result;                    /* outcome of the run, not yet written */
  byte localItem, localAttempts;  /* the record as this VM last read or wrote it */
  /* since: the lease counts from this time; start: when the claim began; next: the item's state to write */
  byte localFence, localVersion, since, start, next;
end:
  do
  /* Table.Listed, Table.Reported: a new version restarts the wait */
  :: atomic { !held && !pending && seen != version && !FINAL(item) -> seen = version; seenAt = now }

  /* Claim: read the record that was offered */
  :: atomic { !held && !pending && version < MAX_VERSION && seen == version && state == RUNNING && !FINAL(item) &&
#ifdef WALL_CLOCK_EXPIRY
      (owner == 0 || WALL >= stamp + LEASE) ->
#else
      (owner == 0 || now - seenAt >= LEASE) ->
#endif
      start = now; localVersion = version; localFence = fence + 1;
      localItem = item; localAttempts = attempts;
      if
      :: localItem == INTENDED && nonIdempotent -> localItem = UNKNOWN
      :: localItem == INTENDED && !nonIdempotent && localAttempts >= MAX_ATTEMPTS -> localItem = FAILED
      :: localItem == INTENDED && !nonIdempotent && localAttempts < MAX_ATTEMPTS -> localItem = OPEN
      :: else
      fi;
      ready = (localItem == OPEN);
#ifndef COUNT_AFTER_DISPATCH
      if :: localItem == OPEN -> localItem = INTENDED; localAttempts++ :: else fi;
#endif
      seen = 0; seenAt = 0;
      pending = true }

  /* the conditional write of the claim; its answer may be lost */
  :: atomic { pending && !unresolved && !held ->
      if
      :: version == localVersion && version < MAX_VERSION ->
          put(id, localFence, localItem, localAttempts, STAMP);
          localVersion = version;
          if :: unresolved = true :: held = true fi
      :: else -> resetClaim()
      fi }

  /* confirmClaim: read the claim back */
  :: atomic { pending && unresolved && !held ->
      if
      :: owner == id && fence == localFence -> localVersion = version; held = true; unresolved = false
      :: else -> resetClaim()
      fi }

  /* addClaimed: read the head after the claim */
  :: atomic { pending && held ->
#ifndef NO_CHECK_AFTER_CLAIM
      if :: state != RUNNING -> stopping = true; ready = false :: else fi;
#endif
      since = start; start = 0; pending = false;
      if :: FINAL(localItem) -> resetClaim() :: else fi }

  /* Take and Start with the send: only within the lease by the holder's own clock */
  :: atomic { held && !pending && ready && !stopping && now - since < STOP ->
      ready = false; started = true; sent++;
      assert(!nonIdempotent || sent <= 1);
      assert(sent <= MAX_ATTEMPTS);
      assert(owner != 3 - id);
      assert(!(nonIdempotent && state >= CANCELLED && outcome == CANCELLED_ITEM)) }

  /* Done, at any time after the send */
  :: atomic { started && result == 0 -> result = DONE }

  /* serveCancelled, checkCancelled */
  :: atomic { held && !pending && !stopping && state != RUNNING -> stopping = true; ready = false }

  /* NextWrite, HeldChunk.Cancel: a checkpoint that renews, or the last record of a cancelled job */
  :: atomic { held && !pending && version < MAX_VERSION && (result != 0 || stopping || now > since) ->
      next = localItem;
      if
      :: result != 0 -> next = result
      :: result == 0 && stopping && started && nonIdempotent -> next = UNKNOWN
      :: result == 0 && stopping && !(started && nonIdempotent) -> next = CANCELLED_ITEM
      :: else
      fi;
#ifdef COUNT_AFTER_DISPATCH
      if :: started && next == OPEN -> next = INTENDED; localAttempts++ :: else fi;
#endif
      if
#ifdef NO_FENCE
      :: true ->
#else
      :: version == localVersion ->
#endif
          put(id, localFence, next, localAttempts, STAMP);
          if
          :: unresolved = true                /* the answer is lost; the next write meets a conflict */
          :: localVersion = version; localItem = next; since = now;
             if :: FINAL(localItem) -> resetClaim() :: else fi
          fi
#ifndef NO_FENCE
      :: version != localVersion && unresolved && owner == id && fence == localFence ->
          /* resync: the write whose answer was lost had effect */
          localVersion = version; localItem = item; unresolved = false;
          if :: FINAL(localItem) -> resetClaim() :: else fi
      :: version != localVersion && !(unresolved && owner == id && fence == localFence) -> resetClaim()
#endif
      fi;
      next = 0 }

  /* crash, and start again as another process */
  :: atomic { crashes < MAX_CRASHES && (held || pending) -> crashes++; resetClaim() }
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
      /* the chunks were listed after the cancellation: no VM had claimed this one */
      assert(sent == 0);
      unclaimed = true; outcome = CANCELLED_ITEM; state = CANCELLED; break }
  :: atomic { state == CANCELLING && FINAL(item) ->
      state = CANCELLED; outcome = item;
      assert(!nonIdempotent || outcome != CANCELLED_ITEM || sent == 0);
      break }
  :: atomic { state == CANCELLING && version > 0 && !FINAL(item) -> v = version; i = item };
      atomic {
        if :: i == INTENDED && nonIdempotent -> i = UNKNOWN :: else -> i = CANCELLED_ITEM fi;
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
  if :: nonIdempotent = true :: nonIdempotent = false fi;
  atomic { run VM(1); run VM(2); run Canceller(); run Home(); run Clock() }
}
