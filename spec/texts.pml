/*
 * The text of one batch item that several runs commit (internal/batchwork). The ledger is
 * modelled as a sequence of atomic entries; ledger.pml and replacement.pml verify the
 * replication.
 *
 * The leader starts runs of the item, also while older ones go on. A run is asked to resume
 * after the last event of the item's present state or of any former one. It receives events,
 * commits those since its last committed event, and ends at any time. An update is applied
 * with or without an answer, applied after its run stopped waiting, or lost. An end whose
 * outcome is unknown stays pending, and the leader proposes it again. The leader also ends the
 * item by itself, from the present or a former state.
 *
 * Left out: updates without text that only count a failure, the leader's own rejection of
 * updates of runs that it gave up (as good as lost), executors of versions that don't read
 * outcomes, and the job's end.
 *
 * RELEASES gives each run an engine of one of two software releases. All runs start from the present
 * state, as they do after a linearizable read. A run at another release than that of the item's text
 * starts over: its first update replaces the text.
 *
 * NO_ENDS leaves out ends; NO_RETRIES leaves out pending ends and those of the leader.
 *
 * Checked: each event is in the text once and in order; where the text changes to another run,
 * that run was asked to resume there; all runs of a text are of one release; a final item never
 * changes.
 *
 * A macro on the command line removes one safety rule:
 *   SILENT_REJECTION  a run is not told that its update had no effect
 *   GO_ON_UNKNOWN     a run goes on after an unknown outcome as if its update had been applied
 *   UNCONDITIONAL     an update is applied whatever event it follows
 *   END_ANYWHERE      a pending end is applied whatever event it follows
 *   CHANGE_FINAL      an update is applied to a final item
 *   NEVER_START_OVER  a run resumes after text of another release, and its updates are applied
 *   NO_RESTART_COUNT  an update may follow a text that ends at the same event as the one that its
 *                     run continued
 * One that is not needed for safety, as the ledger's condition suffices:
 *   RETRY_ANY_END     the leader proposes pending ends that don't follow the text
 */

#ifndef RUNS
#define RUNS 2 /* at most 3 */
#endif
#ifndef EVENTS
#define EVENTS 3 /* at most 4 */
#endif
#define NONE 0 /* in place of a run's number; as the sender of an update, the leader */

mtype = { Applied, Rejected };

#ifdef SILENT_REJECTION
#define AFTER_REJECTION true
#else
#define AFTER_REJECTION false
#endif
#ifdef GO_ON_UNKNOWN
#define AFTER_UNKNOWN true
#else
#define AFTER_UNKNOWN false
#endif

/* The state machine replicated by the ledger. */
byte lastEvent;
bool final;
byte writer[EVENTS + 1]; /* the run that wrote each event */

#ifdef RELEASES
byte textRelease;        /* that began the text; 0 if there is none */
byte restarts;           /* how often the text was replaced */
byte release[RUNS + 1];  /* of each run's engine */
byte seen[RUNS + 1];     /* restarts of the text that each run continues */
bool startsOver[RUNS + 1];
byte base[RUNS + 1];     /* the last event of the text that the run replaces */
#endif

/* All values that lastEvent had, as a bit set. */
byte formerEvents = 1;

/* The event after which each run was asked to resume. */
byte resumedAfter[RUNS + 1];

/* The last update of each run, and the leader's own end. */
typedef Update {
	byte from;
	byte to;
	bool end;
#ifdef RELEASES
	bool fresh;    /* replaces the text */
	byte restarts; /* of the text that it follows */
#endif
	bool inFlight;
	bool awaited;  /* its run waits for the outcome */
	mtype outcome;
	bool pending;  /* an end to be proposed again */
	bool retried   /* proposed again and in flight */
};
Update update[RUNS + 1];

/* Temporaries used within single steps. */
hidden byte event;
hidden mtype outcome;

#ifdef CHANGE_FINAL
#define OPEN true
#else
#define OPEN (!final)
#endif
#ifndef RELEASES
#define FOLLOWS_TEXT(n) (update[n].from == lastEvent)
#else
#ifdef NO_RESTART_COUNT
#define SAME_TEXT(n) true
#else
#define SAME_TEXT(n) (update[n].restarts == restarts)
#endif
#ifdef NEVER_START_OVER
#define FITS(n) true
#else
#define FITS(n) (update[n].fresh || n == NONE || lastEvent == 0 || release[n] == textRelease)
#endif
#define FOLLOWS_TEXT(n) (update[n].from == lastEvent && SAME_TEXT(n) && FITS(n))
#endif
#ifdef UNCONDITIONAL
#define APPLICABLE(n) OPEN
#else
#define APPLICABLE(n) (OPEN && FOLLOWS_TEXT(n))
#endif
#ifdef END_ANYWHERE
#define END_APPLICABLE(n) OPEN
#else
#define END_APPLICABLE(n) APPLICABLE(n)
#endif
#ifdef RETRY_ANY_END
#define PROPOSABLE(n) true
#else
#define PROPOSABLE(n) (!final && FOLLOWS_TEXT(n))
#endif

inline checkText() {
	for (event : 1 .. lastEvent) {
		assert(writer[event] != NONE);
#ifdef RELEASES
		assert(release[writer[event]] == release[writer[1]]);
#endif
		assert(writer[event] == writer[event - 1] || resumedAfter[writer[event]] == event - 1)
	}
}

#ifdef RELEASES
#define HAS_TEXT(n) (update[n].fresh || update[n].to > update[n].from)
#define FIRST(n) (update[n].fresh -> 1 : update[n].from + 1)
/* Clears the text that a fresh update replaces, and sets the release of the next one. */
inline replaceText(n) {
	if
	:: update[n].fresh ->
		for (event : 1 .. EVENTS) {
			writer[event] = NONE
		}
		restarts++
	:: else
	fi;
	if
	:: update[n].fresh || (lastEvent == 0 && update[n].to > 0) -> textRelease = release[n]
	:: else
	fi
}
#else
#define HAS_TEXT(n) (update[n].to > update[n].from)
#define FIRST(n) (update[n].from + 1)
inline replaceText(n) { skip }
#endif

/* Applies the update of a sender if the condition holds, and sets outcome. */
inline apply(n, condition) {
	if
	:: condition ->
		outcome = Applied;
		assert(!final);
		replaceText(n);
		for (event : FIRST(n) .. update[n].to) {
			assert(writer[event] == NONE);
			writer[event] = n
		}
		if
		:: HAS_TEXT(n) ->
			lastEvent = update[n].to;
			formerEvents = formerEvents | (1 << lastEvent)
		:: else
		fi;
		final = update[n].end;
		checkText()
	:: else -> outcome = Rejected
	fi
}

/* Clears an update that nobody will propose or apply again. */
inline forgetUnused(n) {
	if
	:: !update[n].inFlight && !update[n].awaited && !update[n].pending && !update[n].retried ->
		update[n].from = 0;
		update[n].to = 0;
		update[n].end = false;
#ifdef RELEASES
		update[n].fresh = false;
		update[n].restarts = 0
#endif
	:: else
	fi
}

#define APPLY(n) \
	:: d_step { \
		update[n].inFlight -> \
		update[n].inFlight = false; \
		apply(n, APPLICABLE(n)); \
		if \
		:: update[n].awaited -> update[n].outcome = outcome \
		:: else \
		fi; \
		forgetUnused(n) \
	   }
#define APPLY_RETRIED(n) \
	:: d_step { \
		update[n].retried -> \
		update[n].retried = false; \
		apply(n, END_APPLICABLE(n)); \
		forgetUnused(n) \
	   }

/* Applies entries in any order; one that is never applied is lost. */
active proctype ledger() {
end:
	do
	APPLY(0) APPLY(1) APPLY_RETRIED(1) APPLY(2) APPLY_RETRIED(2)
#if RUNS > 2
	APPLY(3) APPLY_RETRIED(3)
#endif
	od
}

/* Sets variable to the last event of the present or a former state. */
inline chooseState(variable) {
	if
	:: formerEvents & 1 -> variable = 0
	:: formerEvents & 2 -> variable = 1
	:: formerEvents & 4 -> variable = 2
	:: formerEvents & 8 -> variable = 3
	:: formerEvents & 16 -> variable = 4
	fi
}

/* A retried end stays pending while its outcome is unknown. */
#define RETRY(n) \
	:: d_step { update[n].pending && !update[n].retried && PROPOSABLE(n) -> update[n].retried = true } \
	:: d_step { \
		update[n].pending && (final || !FOLLOWS_TEXT(n)) -> \
		update[n].pending = false; \
		forgetUnused(n) \
	   }

active proctype leader() {
	byte started = 0;
	bool gaveUp = false;
end:
	do
	:: atomic {
		started < RUNS ->
		started++;
#ifdef RELEASES
		resumedAfter[started] = lastEvent;
		if
		:: release[started] = 1
		:: release[started] = 2
		fi;
		seen[started] = restarts;
#ifndef NEVER_START_OVER
		if
		:: lastEvent > 0 && release[started] != textRelease ->
			startsOver[started] = true;
			base[started] = lastEvent;
			resumedAfter[started] = 0
		:: else
		fi;
#endif
#else
		chooseState(resumedAfter[started]);
#endif
		run itemRun(started, resumedAfter[started])
	   }
#if !defined(NO_ENDS) && !defined(NO_RETRIES)
	:: atomic {
		!gaveUp ->
		gaveUp = true;
#ifdef RELEASES
		update[NONE].from = lastEvent;
		update[NONE].restarts = restarts;
#else
		chooseState(update[NONE].from);
#endif
		update[NONE].to = update[NONE].from;
		update[NONE].end = true;
		update[NONE].inFlight = true
	   }
	RETRY(1) RETRY(2)
#if RUNS > 2
	RETRY(3)
#endif
#endif
	od
}

inline endRun() {
	committed = 0;
	received = 0;
	break
}

/* Stops waiting for the outcome of an update, and ends the run unless it goes on. */
inline settle(n, goesOn) {
	update[n].awaited = false;
	update[n].outcome = 0;
	if
	:: goesOn ->
		committed = received;
#ifdef RELEASES
		if
		:: startsOver[n] -> startsOver[n] = false; seen[n]++; base[n] = 0
		:: else
		fi;
#endif
		forgetUnused(n)
	:: else -> forgetUnused(n); endRun()
	fi
}

proctype itemRun(byte n; byte committed) {
	byte received = committed;
	do
	:: atomic { /* receives events, and commits their text or the item's end */
		do
		:: received < EVENTS -> received++
		:: break
		od;
		if
		:: received == committed -> endRun()
		:: received > committed
#ifndef NO_ENDS
		:: update[n].end = true
#endif
		fi;
		update[n].from = committed;
		update[n].to = received;
#ifdef RELEASES
		update[n].restarts = seen[n];
		if
		:: startsOver[n] ->
			update[n].from = base[n];
			update[n].fresh = true
		:: else
		fi;
#endif
		update[n].inFlight = true;
		update[n].awaited = true
	   }
		if
		:: atomic { update[n].outcome == Applied -> settle(n, !update[n].end) }
		:: atomic { update[n].outcome == Rejected -> settle(n, AFTER_REJECTION && !update[n].end) }
		:: atomic { /* whatever became of the update */
			update[n].pending = update[n].end;
			settle(n, AFTER_UNKNOWN && !update[n].end)
		   }
		fi
	od
}
