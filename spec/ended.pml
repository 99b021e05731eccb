// The end and the removal of a job while a home lists, watches and loads the jobs.
//
// One ID, two jobs one after the other. The service creates, ends and removes the job; each change has a revision. The home
// takes a first listing, from which its watch goes on, and later listings, which it may apply after newer events. The entry
// that ends the job notifies the home, with the revision of the end or, in an earlier release, without; the notice may come at any time or
// never. Reading a job takes time and may fail.
//
// Checked: no item of a job starts once the home has been told that this job has ended or is removed; in the end the home holds the
// job that exists and is open, and no other.
//
// broken: DROP_UNKNOWN      an end of a job that the home doesn't know is forgotten
// broken: LOAD_GOES_ON      the end or the removal of a job that is being read doesn't stop that
// broken: NO_REVISIONS      an end that is kept covers each later copy, whatever its revision
// broken: LISTING_REVIVES   a removal leaves nothing behind against older listings
// broken: NO_REREAD         an end without a revision is taken to be older than each copy
// broken: LISTING_ADDS_ONLY a listing doesn't show that a job is gone
// broken: ONE_JOB_AN_ID     a copy of a job counts as one of the job with its ID that the home has, whenever they were created
// broken: ANY_END_COUNTS    the end of another job with the ID is taken for that of the job that the home has

#define MAX_REVISION 4
#define MAX_LISTINGS 3

mtype = { none, open, ended };            /* what the service has */
mtype = { unknown, loading, held, settled }; /* what the home has */

byte revision;             /* of the service */
mtype stored = none;
byte storedAt;             /* the revision of the job's last change */
byte job;                  /* which of the two jobs it is */
mtype event[5] = none;     /* the change at each revision: open, ended, or none for a removal */
byte eventJob[5];

mtype at = unknown;
byte copyAt, copyJob;      /* the copy that the home holds or reads */
bool stale;                /* the copy must be read again */
bool reread;               /* the object is to be read, since an end of unknown revision came */
byte load;                 /* counts loads, so that an obsolete one is recognized */
bool listedOnce;
byte watchedTo;

bool listing;              /* a listing is on its way */
byte listedTo, listedAt, listedJob;
mtype listed = none;

bool relist;               /* the history that the watch needs is gone; happens once */
bool compacted;

bool notice;               /* a notice is on its way */
byte noticeAt, noticeJob;

mtype stone = none;        /* a tombstone: ended, or open for a removal */
byte stoneAt;
bool doubt;                /* an end of unknown revision */

bool toldOver[3];          /* the home has been told that this job has ended or is removed */

inline start() {
	assert(!toldOver[copyJob])
}

inline settle(a, j) { at = settled; copyAt = a; copyJob = j; load++ }

/* addStone keeps the newer one of two tombstones. */
inline addStone(kind, a) {
	if
	:: a == 0 -> doubt = true
	:: a != 0 && (stone == none || stoneAt <= a) -> stone = kind; stoneAt = a
	:: else
	fi
}

/* tellEnd is told of an end of job j at revision a, 0 if unknown. */
inline tellEnd(a, j) {
	if
	:: at == unknown ->
#ifndef DROP_UNKNOWN
		addStone(ended, a)
#else
		skip
#endif
#ifndef ANY_END_COUNTS
	:: at != unknown && a == 0 -> reread = true
	:: at != unknown && a != 0 && j < copyJob -> skip
	:: at != unknown && a != 0 && j > copyJob -> addStone(ended, a)
	:: at != unknown && a != 0 && j == copyJob ->
#else
	:: at != unknown ->
#endif
		if
#ifdef LOAD_GOES_ON
		:: at == held || at == settled -> at = settled; load++
		:: at == loading -> skip
#else
		:: at = settled; load++
#endif
		fi
	fi
}

/* tellCopy is told of a copy of the job. */
inline tellCopy(what, a, j) {
#ifndef ONE_JOB_AN_ID
	if
	:: at != unknown && j > copyJob -> at = unknown; load++ /* the earlier job is gone */
	:: else
	fi;
#endif
	if
	:: at == unknown ->
		if
		:: stone == open && a <= stoneAt -> skip
#ifdef NO_REVISIONS
		:: stone == ended -> settle(a, j)
#else
		:: stone == ended && a < stoneAt -> settle(a, j)
#endif
		:: else ->
			if
			:: what == ended -> settle(a, j)
			:: else ->
				at = loading; copyAt = a; copyJob = j; load++;
				stale = false;
#ifndef NO_REREAD
				if
				:: doubt -> stale = true
				:: else
				fi
#endif
			fi
		fi
#ifndef ONE_JOB_AN_ID
	:: at != unknown && j < copyJob -> skip
	:: at != unknown && j >= copyJob ->
#else
	:: at != unknown ->
#endif
		if
		:: what == ended -> tellEnd(a, j)
		:: else
		fi;
		if
		:: a > copyAt && at == loading -> copyAt = a; copyJob = j
		:: a > copyAt && at != loading -> copyAt = a
		:: else
		fi
	fi
}

inline tellRemoval(a) {
	if
	:: at == unknown || copyAt <= a ->
#ifndef LISTING_REVIVES
		addStone(open, a);
#endif
#ifdef LOAD_GOES_ON
		if
		:: at != loading -> at = unknown; load++
		:: else
		fi
#else
		at = unknown; load++
#endif
	:: else
	fi
}

active proctype Service() {
end:
	do
	:: atomic { stored == none && job < 2 && revision < MAX_REVISION -> revision++; job++; stored = open; storedAt = revision;
		event[revision] = open; eventJob[revision] = job }
	:: atomic { stored == open && revision < MAX_REVISION -> revision++; stored = ended; storedAt = revision;
		event[revision] = ended; eventJob[revision] = job;
		if
		:: !notice -> notice = true; noticeAt = revision; noticeJob = job
		:: !notice -> notice = true; noticeAt = 0; noticeJob = job
		:: skip /* the notice is lost */
		fi }
	:: atomic { stored != none && revision < MAX_REVISION -> revision++; stored = none;
		event[revision] = none; eventJob[revision] = job }
	od
}

proctype Loader() {
	byte mine, readAt, readJob;
end:
	do
	:: atomic { at == loading -> mine = load; readAt = copyAt; readJob = copyJob };
		if
		:: atomic { stale && mine == load -> /* read the object again */
			doubt = false; stale = false;
			if
			:: stored == none -> tellRemoval(copyAt)
			:: else -> tellCopy(stored, storedAt, job)
			fi }
		:: atomic { !stale && mine == load && at == loading -> stale = true } /* the results can't be read */
		:: atomic { !stale ->
			if
#ifdef LOAD_GOES_ON
			:: at == loading ->
#else
			:: mine == load && at == loading ->
#endif
				at = held; start()
			:: else
			fi }
		:: atomic { mine != load || at != loading -> skip }
		fi
	od
}

active proctype Home() {
	byte listings;
	run Loader();
end:
	do
	:: atomic { !listing && listings < MAX_LISTINGS -> listings++; listing = true; listedTo = revision; listed = stored; listedAt = storedAt; listedJob = job }
	:: atomic { listing -> listing = false;
		if
		:: listed != none ->
			if
			:: listed == ended -> toldOver[listedJob] = true
			:: else
			fi;
			if
			:: listedJob == 2 -> toldOver[1] = true
			:: else
			fi;
			tellCopy(listed, listedAt, listedJob)
#ifndef LISTING_ADDS_ONLY
		:: listed == none && at != unknown && copyAt <= listedTo -> toldOver[copyJob] = true; tellRemoval(listedTo)
#endif
		:: else
		fi;
		if
		:: !listedOnce || (relist && listedTo >= watchedTo) -> listedOnce = true; relist = false; watchedTo = listedTo
		:: else
		fi }
	:: atomic { listedOnce && !compacted && watchedTo < revision -> compacted = true; relist = true; watchedTo = revision }
	:: atomic { listedOnce && !relist && watchedTo < revision -> watchedTo++;
		if
		:: event[watchedTo] == none -> toldOver[eventJob[watchedTo]] = true; tellRemoval(watchedTo)
		:: event[watchedTo] == ended -> toldOver[eventJob[watchedTo]] = true; tellCopy(ended, watchedTo, eventJob[watchedTo])
		:: else -> tellCopy(open, watchedTo, eventJob[watchedTo])
		fi }
	:: atomic { notice -> notice = false;
		if
		:: noticeAt != 0 || at == unknown -> toldOver[noticeJob] = true
		:: else /* known once the object is read again */
		fi;
		tellEnd(noticeAt, noticeJob) }
	:: atomic { reread -> reread = false;
		if
		:: stored != none -> tellCopy(stored, storedAt, job)
		:: else
		fi }
	:: atomic { listedOnce && !listing && !relist && !notice && !reread && watchedTo == revision && at != loading ->
		/* the home knows all that has happened */
		assert(stored != open || (at == held && copyJob == job));
		assert(stored == open || at != held) }
	od
}
