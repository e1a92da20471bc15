/*
 * A batch item's life on the ledger: submission and resend, lease, start,
 * late result, cancel (internal/jobs). The ledger itself is one sequence of
 * atomic entries here; ledger.pml and replacement.pml show that it is that.
 *
 * One client submits one job of one item, again when the answer is lost. Two
 * dispatchers lease the item; each may pause anywhere, and a lease may lapse
 * at any moment while its holder believes that it holds it. Each lease has its
 * own epoch. Answers may be lost after their entry was committed; a command may
 * be repeated, and a copy of it committed at any later moment. Somebody cancels at any moment. With
 * NON_REPEATABLE the item is one that must be sent to an engine at most once;
 * its dispatcher may also hand it back, certainly not run.
 *
 * Checked: one job for each key; the item becomes final once and its result
 * never changes; nothing is leased or started after a cancel; a
 * non-repeatable item runs at most once, and never after the ledger said that
 * it did not run.
 *
 * A macro on the command line removes one safety rule:
 *   NO_KEY               a resent job is not recognised by its key
 *   LAST_RESULT_WINS     a later result replaces the first
 *   RESULT_AFTER_CANCEL  a cancelled item takes a result
 *   LEASE_AFTER_CANCEL   a cancelled item is leased
 *   START_NOT_RECORDED   a non-repeatable item is sent without a committed start
 *   START_AGAIN          a start is granted although another lease has one
 *   HAND_BACK_ANY        a start is undone by a lease that is not its own
 *   LAPSE_REOPENS        a started item becomes open when its lease lapses
 *   CANCEL_NOT_RUN       a started item is cancelled as if it had not run
 */

#define SUBMISSIONS 3
#define LEASES 2 /* by each dispatcher */
#define STARTS 2     /* tries for each lease */
#define HAND_BACKS 2 /* tries for each lease */

mtype = { Absent, Open, Succeeded, OutcomeUnknown, Cancelled };

#define NONE 0

/* The ledger. */
mtype status = Absent;
byte jobs;
byte holder = NONE;    /* the epoch of the lease in force */
byte startedBy = NONE; /* the epoch of the lease that started the item */
byte epochs;

/* The starts and hand-backs that were sent, by a bit for each epoch. */
byte startsSent;
byte handBacksSent;
byte result;     /* the attempt whose result is recorded, from 1 */
bool cancelled;

/* The oracle. */
byte runs;
byte finals;

#define FINAL (status != Absent && status != Open)

inline finish(newStatus, newResult) {
	status = newStatus;
	result = newResult;
	holder = NONE;
	finals++;
	assert(finals == 1)
}

active proctype client() {
	byte sent = 0;
end:
	do
	:: sent < SUBMISSIONS -> d_step {
		sent++;
		if
#ifndef NO_KEY
		:: status != Absent
#endif
		:: else -> jobs++;
			if
			:: status == Absent -> status = Open
			:: else
			fi
		fi;
		assert(jobs == 1)
	   }
	od
}

active proctype canceller() {
end:
	d_step {
		status != Absent ->
		if
#ifndef CANCEL_NOT_RUN
		:: status == Open && startedBy != NONE -> finish(OutcomeUnknown, 0)
		:: status == Open && startedBy == NONE -> finish(Cancelled, 0)
#else
		:: status == Open -> finish(Cancelled, 0)
#endif
		:: else
		fi;
		cancelled = true
	}
}

/* Time: a lease lapses, wherever its holder is. */
active proctype clock() {
end:
	do
	:: d_step {
		holder != NONE && status == Open ->
		holder = NONE;
		if
#ifdef LAPSE_REOPENS
		:: startedBy != NONE -> startedBy = NONE
#else
		:: startedBy != NONE -> finish(OutcomeUnknown, 0)
#endif
		:: else
		fi
	   }
	od
}

#ifdef LEASE_AFTER_CANCEL
#define LEASABLE (status == Open || status == Cancelled)
#else
#define LEASABLE (status == Open)
#endif
#ifdef START_AGAIN
#define STARTABLE(epoch) (status == Open)
#else
#define STARTABLE(epoch) (status == Open && holder == epoch && (startedBy == NONE || startedBy == epoch))
#endif
#ifdef HAND_BACK_ANY
#define UNDOABLE(epoch) (status == Open && startedBy != NONE)
#else
#define UNDOABLE(epoch) (status == Open && holder == epoch && startedBy == epoch)
#endif
#if defined(RESULT_AFTER_CANCEL)
#define TAKES_RESULT (status == Open || status == Cancelled)
#elif defined(LAST_RESULT_WINS)
#define TAKES_RESULT (status == Open || status == Succeeded)
#else
#define TAKES_RESULT (status == Open)
#endif

active [2] proctype dispatcher() {
	byte epoch = NONE;
	byte leases = 0;
	byte starts = 0;
	byte attempt = 0;
	byte handedBack = 0;
	bool maySend = false;
end:
	do
	:: d_step {
		leases < LEASES && LEASABLE && holder == NONE && startedBy == NONE ->
		assert(!cancelled);
		leases++;
		epochs++;
		epoch = epochs;
		holder = epoch
	   }
#if defined(NON_REPEATABLE) && !defined(START_NOT_RECORDED)
		maySend = false;
		starts = 0;
		do
		:: starts < STARTS && !maySend -> atomic {
			starts++;
			startsSent = startsSent | (1 << epoch);
			if
			:: STARTABLE(epoch) ->
				assert(!cancelled);
				startedBy = epoch;
				if
				:: maySend = true
				:: skip /* the answer is lost: it must not be sent */
				fi
			:: else /* refused */
			fi
		   }
		:: break
		od;
#else
		maySend = true;
#endif
		if
		:: maySend ->
			d_step {
				runs++;
				attempt = runs;
#ifdef NON_REPEATABLE
				assert(runs == 1);
				assert(status != Cancelled)
#endif
			}
			if
			:: d_step {
				if
				:: TAKES_RESULT -> finish(Succeeded, attempt)
				:: else /* late: dropped and counted */
				fi;
				attempt = 0
			   }
			:: attempt = 0 /* the dispatcher died, or its report was lost */
			fi
#ifdef NON_REPEATABLE
		:: maySend -> /* handed back, perhaps again when the answer was lost */
			maySend = false;
			handedBack = 0;
			do
			:: handedBack < HAND_BACKS -> d_step {
				handedBack++;
				handBacksSent = handBacksSent | (1 << epoch);
				if
				:: UNDOABLE(epoch) -> startedBy = NONE; holder = NONE
				:: else
				fi
			   }
			:: break
			od;
			handedBack = 0
#endif
		:: else
		fi;
		maySend = false;
		starts = 0;
		epoch = NONE
	od
}

#ifdef NON_REPEATABLE
#define COPY_START(e) \
	:: d_step { (startsSent & (1 << e)) && STARTABLE(e) && startedBy != e -> startedBy = e }
#define COPY_HAND_BACK(e) \
	:: d_step { (handBacksSent & (1 << e)) && UNDOABLE(e) -> startedBy = NONE; holder = NONE }

/* A copy of an earlier command is committed; nobody waits for its answer. */
active proctype network() {
end:
	do
	COPY_START(1) COPY_START(2) COPY_START(3) COPY_START(4)
	COPY_HAND_BACK(1) COPY_HAND_BACK(2) COPY_HAND_BACK(3) COPY_HAND_BACK(4)
	od
}
#endif
