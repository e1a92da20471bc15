/*
 * A part of prompts that crashes engines, and the nodes that hold it back (internal/poison).
 *
 * Each node sends requests with the part until it knows the hold. A node that sees a crash counts it with
 * those that it has heard of, and holds the part from THRESHOLD crashes on. It tells the others, which may
 * be late, and writes the hold into the store. A node may be restarted at any time; it forgets everything and
 * reads the store before it sends. A node that knows the hold may ask the store for a trial: it reads the
 * record, and adds the trial if nobody else has written the record since. It may be restarted before it sends.
 *
 * Left out: answers, which release the part, and how crashes are counted (part_test.go).
 *
 * Checked: once all nodes have known the hold and the store has it, at most TRIALS requests are sent, and
 * a request that was on its way.
 *
 * A macro on the command line removes one safety rule:
 *   UNCONDITIONAL  trials are written whatever the record is by then
 *   LOCAL_TRIALS   each node counts the trials that it knows of, without the store
 *   UNREAD_START   a node sends before it has read the store
 *   NOT_STORED     the hold isn't written into the store
 *   EXPIRES        a hold ends at a node by itself
 */

#ifndef NODES
#define NODES 2
#endif
#define THRESHOLD 2
#define TRIALS 2
#define MAX_RESTARTS 3

byte crashes;           /* seen by any node; news of them travels with the hold only */
bool held[NODES];       /* by a node's own knowledge */
bool stored;            /* the hold is in the store */
byte storedTrials;
byte revision;          /* of the stored record */
byte localTrials[NODES];
byte restarts;
bool known;             /* all nodes have known the hold, and the store has it */
byte late;              /* requests sent since */

inline noteKnown() {
	byte n = 0;
	bool all = stored;
	do
	:: n < NODES -> all = all && held[n]; n++
	:: else -> break
	od;
	if
	:: all && !known -> known = true
	:: else -> skip
	fi;
	n = 0;
	all = false
}

inline sendRequest() {
	crashes++;
	if
	:: known -> late++
	:: else -> skip
	fi;
	assert(late <= TRIALS)
}

proctype node(byte self) {
	byte seen = 0;  /* crashes that this node has counted */
	byte readRevision = 0;
	bool due = false;
end:
	do
	:: atomic { !held[self] && crashes < 6 ->
		sendRequest();
		seen++;
		if
		:: seen >= THRESHOLD || crashes >= THRESHOLD -> held[self] = true
		:: else -> skip
		fi;
		noteKnown() }
	:: atomic { held[self] && !held[(self + 1) % NODES] -> held[(self + 1) % NODES] = true; noteKnown() }
#ifndef NOT_STORED
	:: atomic { held[self] && !stored -> stored = true; revision++; noteKnown() }
#else
	:: atomic { held[self] && !stored && !known -> stored = true; noteKnown(); stored = false }
#endif
	:: atomic { restarts < MAX_RESTARTS -> restarts++; seen = 0; due = false; localTrials[self] = 0;
#ifdef UNREAD_START
		held[self] = false }
#else
		held[self] = stored }
#endif
#ifdef EXPIRES
	:: atomic { held[self] && known -> held[self] = false; seen = 0 }
#endif
#ifdef LOCAL_TRIALS
	:: atomic { held[self] && stored && localTrials[self] < TRIALS && crashes < 12 -> localTrials[self]++; sendRequest() }
#else
	:: atomic { held[self] && stored && !due && storedTrials < TRIALS -> due = true; readRevision = revision }
	:: atomic { due ->
		due = false;
		if
#ifndef UNCONDITIONAL
		:: readRevision != revision -> skip
#endif
		:: else -> storedTrials++; revision++;
			if
			:: sendRequest()
			:: skip /* ends before it has sent */
			fi
		fi }
#endif
	od
}

init {
	atomic {
		byte i = 0;
		do
		:: i < NODES -> run node(i); i++
		:: else -> break
		od
	}
}
