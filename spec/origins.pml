/*
 * The release of engine software that began a stream, and the nodes that continue the stream
 * (internal/origin, internal/forward).
 *
 * The list of engines changes from release 1 alone, to releases 1 and 2, to release 2 alone. Node A
 * knows a present or former list and begins the stream at a release of it, after any number of
 * attempts that bring no event. Before it passes on the first event it sends a record to two homes;
 * each copy may be lost or arrive late. While A takes the release for the only one, it sends none, but
 * does once it no longer does, while the stream lasts. A continues the stream itself when an engine ends. A may end
 * at any time, and homes may lose their records at any time. The caller continues the stream up to
 * twice at node B, which asks the homes; any of them may not answer. B sends the records again. B
 * may watch the list since any of its changes, and takes a release for the only one by the list that
 * the store has after the question came in (IS_CURRENT).
 *
 * Left out: several streams and identifiers used twice (TestContinuedStreamsGetTheirReleaseUnder-
 * RandomFaults in internal/system), regions, and answers of data nodes about a sole release, for
 * which the same conditions hold as at B (TestContinuedStreamsGetTheirReleaseWhileNodesAreOutOfStep).
 *
 * Checked: all events of the stream are of one release.
 *
 * A macro on the command line removes one safety rule:
 *   ANY_RELEASE      A continues the stream at any release that it knows
 *   GUESS            B continues a stream of unknown beginning at any release that it knows
 *   RECORD_AT_CHOICE the record is sent when an engine is chosen, before it brings an event
 *   STALE_LIST       B takes a release for the only one by a list that may be from before the question
 *   SHORT_WINDOW     B takes a release for the only one though it knows only newer lists than that
 *                    by which the stream began
 */

#define HOMES 2
#define LAST_LIST 2

/* Whether a list has a release. */
#define HAS(release, list) ((release == 1 && list < 2) || (release == 2 && list > 0))

byte list;              /* the present one */
byte began;             /* the release that began the stream; 0 until its first event */
byte listAtBegin;       /* the list by which it began */
byte record[HOMES];     /* 0 means none */
byte inFlight[HOMES];   /* a late record; 0 means none */
bool ended;             /* node A has ended */

/* Changes the list, delivers late records and loses records. */
active proctype environment() {
end:
	do
	:: atomic { list < LAST_LIST -> list++ }
	:: atomic { inFlight[0] > 0 -> record[0] = inFlight[0]; inFlight[0] = 0 }
	:: atomic { inFlight[1] > 0 -> record[1] = inFlight[1]; inFlight[1] = 0 }
	:: atomic { record[0] > 0 -> record[0] = 0 }
	:: atomic { record[1] > 0 -> record[1] = 0 }
	od
}

/* Sends a record, whose copies arrive, come late or are lost. */
inline send(release) {
	if
	:: record[0] = release
	:: inFlight[0] = release
	:: skip
	fi;
	if
	:: record[1] = release
	:: inFlight[1] = release
	:: skip
	fi
}

inline chooseRelease(release, known) {
	if
	:: HAS(1, known) -> release = 1
	:: HAS(2, known) -> release = 2
	fi
}

/* Whether A takes a release for the only one. It watches the list from the start, and may be behind
 * the present one, as its list may be up to date for the bound that it goes by. */
#define ONLY_AT_A(release) (release == 1 && known == 0)

active proctype nodeA() {
	byte known, release;
	do
	:: atomic { known < list -> known++ }
	:: atomic { /* an attempt without an event */
		began == 0 ->
		chooseRelease(release, known);
#ifdef RECORD_AT_CHOICE
		send(release)
#endif
	   }
	:: atomic { /* the first event */
		began == 0 ->
		chooseRelease(release, known);
		if
		:: ONLY_AT_A(release)
		:: !ONLY_AT_A(release) -> send(release)
		fi;
		listAtBegin = known;
		began = release
	   }
	:: atomic { began > 0 && !ONLY_AT_A(began) -> send(began) }
	:: atomic { /* an engine ends */
		began > 0 ->
		release = began;
#ifdef ANY_RELEASE
		chooseRelease(release, known);
#endif
		assert(release == began)
	   }
	:: ended = true; break
	od
}

/* Sets release to that of any record that a home answers with; 0 if none does. */
inline askHomes(release) {
	release = 0;
	if
	:: record[0] > 0 -> release = record[0]
	:: record[1] > 0 -> release = record[1]
	:: skip
	fi
}

#ifdef STALE_LIST
#define IS_CURRENT true
#else
#define IS_CURRENT (known == list)
#endif
#ifdef SHORT_WINDOW
#define COVERS_BEGIN true
#else
#define COVERS_BEGIN (since <= listAtBegin)
#endif

/* Sets release to the only one of the lists that B has watched, unless it can't tell. */
inline soleRelease(release) {
	if
	:: IS_CURRENT && COVERS_BEGIN && known == 0 -> release = 1
	:: IS_CURRENT && COVERS_BEGIN && since == LAST_LIST -> release = 2
	:: else
	fi
}

active proctype nodeB() {
	byte known, since, release, requests;
	if /* when it began to watch */
	:: since = 0
	:: since = 1
	:: since = 2
	fi;
	atomic { list >= since -> known = since }
end:
	do
	:: atomic { known < list -> known++ }
	:: atomic { /* the caller continues the stream */
		began > 0 && requests < 2 ->
		requests++;
		askHomes(release);
		if
		:: release == 0 -> soleRelease(release)
		:: else
		fi;
#ifdef GUESS
		if
		:: release == 0 -> chooseRelease(release, known)
		:: else
		fi;
#endif
		if
		:: release > 0 ->
			assert(release == began);
			send(release)
		:: else /* refused */
		fi;
		release = 0
	   }
	od
}
