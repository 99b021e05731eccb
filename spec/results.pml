/* The writes of a job's results by its home, to a store that promises little: the answer to a write may be lost, the answer that an
 * object exists doesn't hold that object, and reads may fail. An earlier home writes one chunk late, with one of the items or none.
 *
 * broken variants, each of which must be caught:
 */
// broken: CONFLICT_IS_FINAL
// broken: CONFLICT_IS_OWN
// broken: CONFLICT_IS_ANOTHERS
// broken: UNKNOWN_IS_DONE

#define ITEMS 2
#define CHUNKS 4
#define MAX_LOST 2      /* writes or their answers that are lost */
#define MAX_REFUSED 1   /* writes that are refused */
#define MAX_FAILED 2    /* reads that fail */

#define NONE 0          /* no chunk; the others hold item 1 or 2, or none */
#define SEAL 3

mtype = { ok, unknown, conflict, unavailable };

byte chunk[CHUNKS];
byte lost, refused, failed;

/* the home's view: the chunks that it has appended to its log */
byte loaded, view[CHUNKS];

#define LISTED(item) ((loaded > 0 && view[0] == item) || (loaded > 1 && view[1] == item) || (loaded > 2 && view[2] == item) || (loaded > 3 && view[3] == item))

inline append(content) {
  assert(chunk[loaded] == content);
  assert(content == SEAL || !LISTED(content));
  view[loaded] = content;
  loaded++
}

proctype Home() {
  byte item, found;
  mtype answer;
  do
  :: LISTED(1) && LISTED(2) -> break
  :: else ->
     if
     :: !LISTED(1) -> item = 1
     :: !LISTED(2) -> item = 2
     fi;
     atomic { /* the creation */
       if
       :: refused < MAX_REFUSED -> refused++; answer = unavailable
       :: lost < MAX_LOST -> lost++; answer = unknown /* the call itself is lost */
       :: chunk[loaded] != NONE -> answer = conflict
       :: chunk[loaded] == NONE ->
          chunk[loaded] = item;
          if
          :: answer = ok
          :: lost < MAX_LOST -> lost++; answer = unknown
          fi
       fi
     };
#ifdef UNKNOWN_IS_DONE
     if :: answer == unknown -> answer = ok :: else fi;
#endif
#ifdef CONFLICT_IS_FINAL
     if :: answer == conflict -> goto stuck :: else fi;
#endif
#ifdef CONFLICT_IS_OWN
     if :: answer == conflict -> answer = ok :: else fi;
#endif
     if
     :: answer == ok -> append(item)
     :: answer == unavailable
#ifdef CONFLICT_IS_ANOTHERS
     :: answer == conflict -> append(SEAL)
     :: answer == unknown ->
#else
     :: answer == conflict || answer == unknown ->
#endif
        atomic { /* the read */
          if
          :: failed < MAX_FAILED -> failed++; found = NONE
          :: found = chunk[loaded]
          fi
        };
        if
        :: found == NONE /* the write is repeated */
        :: else -> append(found)
        fi
     fi
  od;
  goto done;
#ifdef CONFLICT_IS_FINAL
stuck:
  false;
#endif
done:
  skip
}

/* the earlier home: a write that arrives late, at the position that it considers next */
proctype Earlier() {
  byte content;
  if :: content = 1 :: content = 2 :: content = SEAL fi;
  atomic {
    if
    :: chunk[0] == NONE -> chunk[0] = content
    :: else
    fi
  }
}

init {
  atomic { run Home(); run Earlier() }
}
