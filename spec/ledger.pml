/* Ledger: one request ID, two homes of its shard, one head object.
 *
 * Each home may be paused between any two of its steps, since the steps interleave freely; it may
 * crash; an update may be refused, or be applied and have its outcome read back at any later time; a
 * fenced home sends a result that it still has to the other home, and the message may be duplicated.
 * spec/README.md maps the steps to the code.
 */
// broken: NO_FENCE
// broken: INTENT_AFTER_DISPATCH
// broken: RERUN_UNKNOWN
// broken: ANY_ATTEMPT
// broken: LOST_IS_REFUSED
// broken: CHANGE_FINAL

#define HOMES 2
#define SUBMITS 3
#define CRASHES 1
#define ATTEMPTS 3

/* States of a record; NOTRUN occurs only as a result. */
#define NONE 0
#define ACCEPTED 1
#define STARTED 2
#define DONE 3
#define UNKNOWN 4
#define NOTRUN 5

#define isFinal(s) ((s) == DONE || (s) == UNKNOWN)

#ifdef NO_FENCE
#define mayApply true
#else
#define mayApply (version == localVersion)
#endif

#ifdef ANY_ATTEMPT
#define attemptMatches true
#else
#define attemptMatches (resultAttempt == localAttempt || (idempotent && result == DONE))
#endif

#ifdef CHANGE_FINAL
#define isOpen(s) ((s) != NONE)
#else
#define isOpen(s) ((s) == ACCEPTED || (s) == STARTED)
#endif

bool idempotent;

/* The head object. */
byte version = 1;
byte record = NONE;
byte recordAttempt = 0;

/* Ghost variables, which only assertions use: the first durable outcome, the submits that were not
 * refused, and the runs. */
byte outcome = NONE;
byte unrefused = 0;
byte runs = 0;
byte submits = 0;
byte attempts = 0;
byte crashes = 0;

chan handoff = [1] of { byte, byte };

inline replyOutcome(s) {
  assert(s == outcome);
  waiting = 0
}

inline replyNotRun() {
  unrefused = unrefused - waiting;
  waiting = 0
}

inline loseShard() {
  held = false;
  writing = 0;
  waiting = 0;
  localState = NONE;
  localAttempt = 0;
  if
  :: applied && intent && !idempotent && !running -> result = NOTRUN; resultAttempt = newAttempt
  :: else
  fi;
  intent = false;
  applied = false
}

proctype Home() {
  bool held = false, applied = false, intent = false;
  byte localVersion = 0, localState = NONE, localAttempt = 0;
  byte newState = NONE, newAttempt = 0, writing = 0;
  byte running = 0, result = NONE, resultAttempt = 0, waiting = 0;
end:
  do
  /* load */
  :: atomic { !held ->
       held = true; localVersion = version; localState = record; localAttempt = recordAttempt }

  /* submit */
  :: atomic { held && submits < SUBMITS && writing == 0 && localState == NONE && attempts < ATTEMPTS ->
       submits++; unrefused++; waiting++; attempts++;
       newState = (idempotent -> ACCEPTED : STARTED); newAttempt = attempts; intent = true; writing = 1;
#ifdef INTENT_AFTER_DISPATCH
       running = newAttempt
#endif
     }
  :: atomic { held && submits < SUBMITS && isOpen(localState) && !isFinal(localState) ->
       submits++; unrefused++; waiting++ }
  :: atomic { held && submits < SUBMITS && isFinal(localState) ->
       submits++; replyOutcome(localState) }

  /* takeover */
  :: atomic { held && writing == 0 && localState == STARTED && localAttempt != running && result == NONE ->
#ifdef RERUN_UNKNOWN
       attempts < ATTEMPTS; attempts++;
       newState = STARTED; newAttempt = attempts; intent = true; writing = 1
#else
       newState = UNKNOWN; newAttempt = localAttempt; writing = 1
#endif
     }
  :: atomic { held && writing == 0 && localState == ACCEPTED && localAttempt != running && result == NONE &&
       attempts < ATTEMPTS ->
       attempts++; newState = ACCEPTED; newAttempt = attempts; intent = true; writing = 1 }

  /* execute */
  :: atomic { running && result == NONE ->
       resultAttempt = running; running = 0;
       if
       :: result = NOTRUN
       :: result = DONE
       :: !idempotent -> result = UNKNOWN
       fi;
       if
       :: result != NOTRUN ->
          runs++;
          assert(unrefused > 0);
          assert(idempotent || runs == 1)
       :: else
       fi }

  /* apply a result, of this home or handed off by the other */
  :: atomic { held && writing == 0 && result && !(isOpen(localState) && attemptMatches) ->
       result = NONE;
       if
       :: isFinal(localState) -> replyOutcome(localState)
       :: else
       fi }
  :: atomic { held && writing == 0 && result && isOpen(localState) && attemptMatches ->
       newState = (result == NOTRUN -> NONE : result); newAttempt = localAttempt; writing = 1;
       if
       :: result == NOTRUN && !idempotent -> replyNotRun()
       :: else
       fi }
  :: atomic { !held && result && nfull(handoff) ->
       handoff!result,resultAttempt;
       if
       :: result = NONE
       :: skip
       fi }
  :: atomic { held && writing == 0 && result == NONE && nempty(handoff) -> handoff?result,resultAttempt }

  /* write */
  :: atomic { writing == 1 ->
       writing = 2;
       if
       :: mayApply ->
          assert(!isFinal(outcome) || newState == outcome);
          version++; record = newState; recordAttempt = newAttempt; applied = true;
          if
          :: isFinal(newState) -> outcome = newState
          :: else
          fi
       :: true -> applied = false
       fi }

  /* read back the outcome of the update */
#ifdef LOST_IS_REFUSED
  :: atomic { writing == 2 && applied && intent ->
       localVersion = version; writing = 0; intent = false; applied = false; replyNotRun() }
#endif
  :: atomic { writing == 2 && applied && (version == localVersion + 1) ->
       localVersion = version; localState = newState; localAttempt = newAttempt;
       writing = 0; applied = false;
       if
       :: intent -> intent = false; running = newAttempt
       :: !intent && newState == NONE -> result = NONE; replyNotRun()
       :: !intent && newState != NONE -> result = NONE; replyOutcome(newState)
       fi }
  :: atomic { writing == 2 && !applied && version == localVersion ->
       writing = 0;
       if
       :: intent && localState == NONE -> replyNotRun()
       :: else
       fi;
       intent = false }
  :: atomic { writing == 2 && version != localVersion && !(applied && version == localVersion + 1) -> loseShard() }

  /* crash */
  :: atomic { crashes < CRASHES ->
       crashes++; held = false; applied = false; intent = false; writing = 0;
       localState = NONE; localAttempt = 0; running = 0; result = NONE; resultAttempt = 0; waiting = 0 }
  od
}

init {
  atomic {
    if
    :: idempotent = true
    :: idempotent = false
    fi;
    run Home();
    run Home()
  }
}
