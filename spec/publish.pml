// Publishing the configuration: racing operators, lost and delayed answers, stale reads, followers.
//
// The object service is a history of versions of the root. A read may give any earlier version.
// An update takes effect if the version is the expected one; its answer may be lost, and the
// update itself may arrive late. Each publisher has one change, a bit of the content.
//
// Checked: each change takes effect at most once; the outcome reported to the operator is true; an
// update keeps the changes before it; generations grow; a follower never applies an older generation.
//
// broken: REVERT_ON_STALE_READ   a follower applies whatever it reads
// broken: UNCONDITIONAL_PUBLISH  an update ignores the expected version
// broken: NO_REBASE              after a conflict, a publisher sends its first candidate again
// broken: ASSUME_NOT_WRITTEN     a lost answer is treated as not published
// broken: ASSUME_WRITTEN         a lost answer is treated as published
// broken: NO_TRAIL_SEARCH        reading back looks at the newest entry only

#define PUBLISHERS 2
#define VERSIONS 6 /* versions 0 to 5 */
#define ATTEMPTS 3

byte version = 0;
byte generation[VERSIONS];
byte content[VERSIONS];
byte author[VERSIONS]; /* the publisher whose entry the version has, plus 1 */

byte effects[PUBLISHERS]; /* how often the change took effect */
bool reportedNotPublished[PUBLISHERS]; /* the operator was informed that the change was not published */

/* An update in flight; at most one per publisher. */
bool inFlight[PUBLISHERS];
byte inFlightExpect[PUBLISHERS];
byte inFlightContent[PUBLISHERS];

/* update applies a conditional update and sets done if it took effect. */
inline update(who, expect, bits, done) {
	done = false;
	if
#ifdef UNCONDITIONAL_PUBLISH
	:: version < VERSIONS - 1 ->
#else
	:: version == expect && version < VERSIONS - 1 ->
#endif
		assert(effects[who] == 0);
		assert(!reportedNotPublished[who]);
		assert((bits & content[version]) == content[version]);
		assert(expect + 1 > generation[version]);
		version++;
		generation[version] = expect + 1;
		content[version] = bits;
		author[version] = who + 1;
		effects[who]++;
		done = true
	:: else
	fi
}

/* read gives a version that was current at some time. */
inline read(at) {
	at = 0;
	do
	:: at < version -> at++
	:: break
	od
}

/* find looks for the publisher's entry after the version from, up to the version to. */
inline find(who, from, to, found) {
	found = false;
	i = to;
	do
	:: i > from ->
		if
		:: author[i] == who + 1 -> found = true
		:: else
		fi;
#ifdef NO_TRAIL_SEARCH
		break;
#endif
		i--
	:: else -> break
	od;
	i = 0
}

proctype Publisher(byte me) {
	/* base: the version that the update expects; newestRead: the newest version read so far */
	byte base, at, newestRead, first, bits, attempts, i;
	bool done, started;

attempt:
	if
	:: attempts == ATTEMPTS ->
		atomic { assert(effects[me] == 0); reportedNotPublished[me] = true };
		goto end
	:: else -> attempts++
	fi;

fresh:
	atomic {
		read(base);
		if
		:: base < newestRead -> goto fresh /* a stale read is repeated */
		:: else
		fi;
		newestRead = base;
		if
		:: !started -> started = true; first = content[base]
		:: else
		fi;
		bits = content[base] | (1 << me);
#ifdef NO_REBASE
		bits = first | (1 << me);
#endif
		at = 0
	};

	if
	:: atomic { update(me, base, bits, done); /* answered */
		if
		:: done -> goto accepted
		:: else -> goto attempt
		fi }
	:: atomic { update(me, base, bits, done); done = false } /* answer lost */
	:: atomic { !inFlight[me] -> /* update delayed, answer lost */
		inFlight[me] = true;
		inFlightExpect[me] = base;
		inFlightContent[me] = bits }
	fi;

#ifdef ASSUME_NOT_WRITTEN
	goto attempt;
#endif
#ifdef ASSUME_WRITTEN
	goto accepted;
#endif

resolve:
	atomic {
		read(at);
		if
		:: at < base -> at = 0; goto resolve
		:: at == base -> at = 0; goto repeat
		:: at > base -> find(me, base, at, done);
			newestRead = at;
			at = 0;
			if
			:: done -> goto accepted
			:: else -> goto attempt
			fi
		fi
	};

repeat:
	atomic {
		update(me, base, bits, done);
		if
		:: done -> done = false; goto accepted /* answered */
		:: done -> done = false; goto resolve /* answer lost */
		:: else -> goto resolve
		fi
	};

accepted:
	assert(effects[me] == 1);

end:
	skip
}

/* Network delivers updates in flight, at any time. */
active proctype Network() {
	byte who;
	bool done;
end:
	do
	:: atomic { inFlight[0] -> who = 0; inFlight[who] = false; update(who, inFlightExpect[who], inFlightContent[who], done) }
	:: atomic { inFlight[1] -> who = 1; inFlight[who] = false; update(who, inFlightExpect[who], inFlightContent[who], done) }
	od
}

/* Follower receives roots by reads and by pushes from peers, in any order and of any age. */
proctype Follower() {
	byte current, received, maxGeneration;
end:
	do
	:: atomic {
		read(received);
#ifdef REVERT_ON_STALE_READ
		current = received;
#else
		if
		:: received > current -> current = received
		:: else
		fi;
#endif
		assert(generation[current] >= maxGeneration);
		maxGeneration = generation[current];
		received = 0 }
	od
}

init {
	atomic {
		run Publisher(0);
		run Publisher(1);
		run Follower();
		run Follower()
	}
}
