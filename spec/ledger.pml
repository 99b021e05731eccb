/* Ledger: one request ID, two homes of its shard, one head object.
 *
 * Each home may be paused between any two of its steps, since the steps interleave freely; it may
 * crash; an update may be refused, or land and have its answer read back at any later time; a
 * result that a fenced home holds goes to the other home, and the message may be doubled.
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

/* States of a record; NOTRUN is a result only. */
#define NONE 0
#define ACCEPTED 1
#define STARTED 2
#define DONE 3
#define UNKNOWN 4
#define NOTRUN 5

#define isFinal(s) ((s) == DONE || (s) == UNKNOWN)

#ifdef NO_FENCE
#define mayLand true
#else
#define mayLand (version == seen)
#endif

#ifdef ANY_ATTEMPT
#define fits true
#else
#define fits (handAttempt == knownAttempt || (idempotent && hand == DONE))
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

/* Ghost variables: the first durable outcome, the askers that were not refused, the runs. */
byte outcome = NONE;
byte live = 0;
byte runs = 0;
byte submits = 0;
byte attempts = 0;
byte crashes = 0;

chan handoff = [1] of { byte, byte };

inline tellOutcome(s) {
  assert(s == outcome);
  asking = 0
}

inline tellNotRun() {
  live = live - asking;
  asking = 0
}

inline loseShard() {
  held = false;
  writing = 0;
  asking = 0;
  known = NONE;
  knownAttempt = 0;
  if
  :: landed && intent && !idempotent && !running -> hand = NOTRUN; handAttempt = wantAttempt
  :: else
  fi;
  intent = false;
  landed = false
}

proctype Home() {
  bool held = false, landed = false, intent = false;
  byte seen = 0, known = NONE, knownAttempt = 0;
  byte want = NONE, wantAttempt = 0, writing = 0;
  byte running = 0, hand = NONE, handAttempt = 0, asking = 0;
end:
  do
  /* load */
  :: atomic { !held ->
       held = true; seen = version; known = record; knownAttempt = recordAttempt }

  /* submit */
  :: atomic { held && submits < SUBMITS && writing == 0 && known == NONE && attempts < ATTEMPTS ->
       submits++; live++; asking++; attempts++;
       want = (idempotent -> ACCEPTED : STARTED); wantAttempt = attempts; intent = true; writing = 1;
#ifdef INTENT_AFTER_DISPATCH
       running = wantAttempt
#endif
     }
  :: atomic { held && submits < SUBMITS && isOpen(known) && !isFinal(known) ->
       submits++; live++; asking++ }
  :: atomic { held && submits < SUBMITS && isFinal(known) ->
       submits++; tellOutcome(known) }

  /* takeover */
  :: atomic { held && writing == 0 && known == STARTED && knownAttempt != running && hand == NONE ->
#ifdef RERUN_UNKNOWN
       attempts < ATTEMPTS; attempts++;
       want = STARTED; wantAttempt = attempts; intent = true; writing = 1
#else
       want = UNKNOWN; wantAttempt = knownAttempt; writing = 1
#endif
     }
  :: atomic { held && writing == 0 && known == ACCEPTED && knownAttempt != running && hand == NONE && attempts < ATTEMPTS ->
       attempts++; want = ACCEPTED; wantAttempt = attempts; intent = true; writing = 1 }

  /* execute */
  :: atomic { running && hand == NONE ->
       handAttempt = running; running = 0;
       if
       :: hand = NOTRUN
       :: hand = DONE
       :: !idempotent -> hand = UNKNOWN
       fi;
       if
       :: hand != NOTRUN ->
          runs++;
          assert(live > 0);
          assert(idempotent || runs == 1)
       :: else
       fi }

  /* take in a result, own or handed over */
  :: atomic { held && writing == 0 && hand && !(isOpen(known) && fits) ->
       hand = NONE;
       if
       :: isFinal(known) -> tellOutcome(known)
       :: else
       fi }
  :: atomic { held && writing == 0 && hand && isOpen(known) && fits ->
       want = (hand == NOTRUN -> NONE : hand); wantAttempt = knownAttempt; writing = 1;
       if
       :: hand == NOTRUN && !idempotent -> tellNotRun()
       :: else
       fi }
  :: atomic { !held && hand && nfull(handoff) ->
       handoff!hand,handAttempt;
       if
       :: hand = NONE
       :: skip
       fi }
  :: atomic { held && writing == 0 && hand == NONE && nempty(handoff) -> handoff?hand,handAttempt }

  /* write */
  :: atomic { writing == 1 ->
       writing = 2;
       if
       :: mayLand ->
          assert(!isFinal(outcome) || want == outcome);
          version++; record = want; recordAttempt = wantAttempt; landed = true;
          if
          :: isFinal(want) -> outcome = want
          :: else
          fi
       :: true -> landed = false
       fi }

  /* learn what became of the update */
#ifdef LOST_IS_REFUSED
  :: atomic { writing == 2 && landed && intent ->
       seen = version; writing = 0; intent = false; landed = false; tellNotRun() }
#endif
  :: atomic { writing == 2 && landed && (version == seen + 1) ->
       seen = version; known = want; knownAttempt = wantAttempt; writing = 0; landed = false;
       if
       :: intent -> intent = false; running = wantAttempt
       :: !intent && want == NONE -> hand = NONE; tellNotRun()
       :: !intent && want != NONE -> hand = NONE; tellOutcome(want)
       fi }
  :: atomic { writing == 2 && !landed && version == seen ->
       writing = 0;
       if
       :: intent && known == NONE -> tellNotRun()
       :: else
       fi;
       intent = false }
  :: atomic { writing == 2 && version != seen && !(landed && version == seen + 1) -> loseShard() }

  /* crash */
  :: atomic { crashes < CRASHES ->
       crashes++; held = false; landed = false; intent = false; writing = 0;
       known = NONE; knownAttempt = 0; running = 0; hand = NONE; handAttempt = 0; asking = 0 }
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
