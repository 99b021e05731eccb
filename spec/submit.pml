// Submitting a job: attempts at two entries, writes that are not answered or applied late, a home that changes.
//
// A job has one ID. Each attempt writes it several times, itself and through the home; a write is applied and answered,
// refused, applied without an answer, applied late, or lost. An attempt none of whose writes can have had an effect is
// withdrawn at the home, which says whether the job may be refused.
//
// Checked: an accepted job is stored; a refused attempt's own writes never take effect; once a home has said that the job
// may be refused, no attempt that had been told to a home before stores it.
//
// broken: LAST_ANSWER_WINS   an attempt goes by the answer to its last write
// broken: OWN_ATTEMPT_ONLY   an entry refuses without asking the home
// broken: TELL_AFTER_WRITE   an entry tells the home of an attempt after its writes
// broken: NO_HELLO           entries don't repeat their open attempts to the next home
// broken: NO_GRACE           a home that has just started says at once that a job may be refused

#define ATTEMPTS 3
#define WRITES 2 /* of an attempt, by the entry and by the home */
#define ENTRY(i) ((i) % 2)

mtype = { idle, open, withdrawn, accepted, refused, doubtful };

mtype state[ATTEMPTS] = idle; /* what the entry knows of the attempt */
bool told[ATTEMPTS];          /* a home was told of it before its first write */
bool atHome[ATTEMPTS];        /* the present home holds it as open */
byte epoch[ATTEMPTS];         /* the refusals before the attempt began */
bool inFlight[ATTEMPTS];      /* a write that may be applied late */

bool stored;    /* the object service has the job */
bool seen;      /* the present home's watch has delivered it */
byte refusals;  /* how often a home has said that the job may be refused */
bool connected[2] = { true, true }; /* the entry has said hello to the present home */
bool changed;   /* the home has changed; it does once */

inline apply(i) {
	assert(state[i] != refused);
	assert(stored || !told[i] || epoch[i] == refusals);
	stored = true
}

inline tell(i) {
	if
	:: connected[ENTRY(i)] && !seen -> atHome[i] = true; told[i] = true
	:: else
	fi
}

proctype Attempt(byte me) {
	byte writes;
	bool lost, done;

	atomic {
		state[me] = open;
		epoch[me] = refusals;
#ifndef TELL_AFTER_WRITE
		tell(me)
#endif
	};

	do
	:: atomic { writes < WRITES -> writes++;
		if
		:: apply(me); done = true           /* applied, or found, and answered */
		:: apply(me); lost = true           /* applied, not answered */
		:: inFlight[me] = true; lost = true /* applied late */
		:: lost = true                      /* lost */
		:: skip;                            /* refused */
#ifdef LAST_ANSWER_WINS
			lost = false
#endif
		fi };
		if
		:: done -> break
		:: else
		fi
	:: atomic { writes > 0 -> break }
	od;

	if
	:: done ->
		atomic { state[me] = accepted; assert(stored) };
		goto end
	:: lost && !done ->
		atomic {
#ifdef TELL_AFTER_WRITE
			tell(me);
			told[me] = true;
#endif
			state[me] = doubtful /* stays open at the entry and at the home */
		};
		goto end
	:: else
	fi;

	/* withdraw */
	atomic {
		state[me] = withdrawn;
#ifdef OWN_ATTEMPT_ONLY
		state[me] = refused;
		refusals++;
		goto end;
#endif
		if
		:: connected[ENTRY(me)] ->
			atHome[me] = false;
			if
			:: seen -> state[me] = accepted; assert(stored)
#ifdef NO_GRACE
			:: !seen && !atHome[0] && !atHome[1] && !atHome[2] ->
#else
			:: !seen && connected[0] && connected[1] && !atHome[0] && !atHome[1] && !atHome[2] ->
#endif
				/* an attempt in doubt at the same entry is known there */
				if
				:: (me + 2) < ATTEMPTS && state[me + 2] == doubtful -> state[me] = doubtful
				:: me >= 2 && state[me - 2] == doubtful -> state[me] = doubtful
				:: else -> state[me] = refused; refusals++
				fi
			:: else -> state[me] = doubtful
			fi
		:: else -> state[me] = doubtful /* no home's word */
		fi
	};
end:
	skip
}

/* Service applies the writes that are late, and tells the home of the job. */
active proctype Service() {
	byte i;
end:
	do
	:: atomic { inFlight[0] -> inFlight[0] = false; apply(0) }
	:: atomic { inFlight[1] -> inFlight[1] = false; apply(1) }
	:: atomic { inFlight[2] -> inFlight[2] = false; apply(2) }
	:: atomic { stored && !seen -> seen = true; atHome[0] = false; atHome[1] = false; atHome[2] = false }
	od
}

inline hello(e) {
	connected[e] = true;
	i = 0;
	do
	:: i < ATTEMPTS ->
#ifndef NO_HELLO
		if
		:: ENTRY(i) == e && (state[i] == open || state[i] == doubtful) && !seen -> atHome[i] = true
		:: else
		fi;
#endif
		i++
	:: else -> break
	od;
	i = 0
}

/* Home changes once; the next one knows nothing until the entries say hello. */
active proctype Home() {
	byte i;
	atomic {
		changed = true;
		connected[0] = false; connected[1] = false;
		atHome[0] = false; atHome[1] = false; atHome[2] = false
	};
end:
	do
	:: atomic { !connected[0] -> hello(0) }
	:: atomic { !connected[1] -> hello(1) }
	od
}

init {
	atomic {
		run Attempt(0);
		run Attempt(1);
		run Attempt(2)
	}
}
