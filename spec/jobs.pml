/*
 * Life cycle of a batch item: submission and resubmission, lease, start, late
 * result, cancellation (internal/jobs). The ledger is modelled as a sequence of
 * atomic entries; ledger.pml and replacement.pml verify the replication.
 *
 * One client submits a job of one item and resubmits it if the response is lost.
 * Two dispatchers lease the item. Each may pause anywhere, and a lease may expire
 * at any time while its holder still relies on it. Each lease has its own epoch.
 * Responses may be lost after their entry was committed. Commands may be retried,
 * and a duplicate may be committed at any later time. The job may be cancelled at
 * any time. With NON_REPEATABLE the item must be sent to an engine at most once,
 * and its dispatcher may hand it back as not run.
 *
 * Checked: one job per idempotency key; the item becomes final once and its result
 * never changes; nothing is leased or started after cancellation; a non-repeatable
 * item runs at most once, and never after it was recorded as not run.
 *
 * A macro on the command line removes one safety rule:
 *   NO_KEY               a resubmitted job is not recognised by its key
 *   LAST_RESULT_WINS     a later result replaces the first
 *   RESULT_AFTER_CANCEL  a cancelled item accepts a result
 *   LEASE_AFTER_CANCEL   a cancelled item is leased
 *   START_NOT_RECORDED   a non-repeatable item is sent without a committed start
 *   START_AGAIN          a start is accepted although another lease has one
 *   HAND_BACK_ANY        a lease hands back an item that another lease started
 *   LAPSE_REOPENS        a started item becomes open when its lease expires
 *   CANCEL_NOT_RUN       a started item is cancelled as not run
 */

#define SUBMISSIONS 3
#define LEASES 2 /* per dispatcher */
#define STARTS 2     /* attempts per lease */
#define HAND_BACKS 2 /* attempts per lease */

mtype = { Absent, Open, Succeeded, OutcomeUnknown, Cancelled };

#define NONE 0

/* The state machine replicated by the ledger. */
mtype status = Absent;
byte jobs;
byte holder = NONE;    /* epoch of the current lease */
byte startedBy = NONE; /* epoch of the lease that started the item */
byte epochs;

/* Epochs whose start or hand-back commands were sent, as bit sets. */
byte startsSent;
byte handBacksSent;
byte result;     /* number of the run whose result is recorded, from 1 */
bool cancelled;

/* Counters for the assertions only. */
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

/* Expires the lease at any time, whatever its holder is doing. */
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
				:: skip /* response lost: the item must not be sent */
				fi
			:: else /* rejected */
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
				:: else /* late result: discarded */
				fi;
				attempt = 0
			   }
			:: attempt = 0 /* the dispatcher crashed or its report was lost */
			fi
#ifdef NON_REPEATABLE
		:: maySend -> /* handed back, retried if the response is lost */
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

/* Commits duplicates of earlier commands, whose responses are ignored. */
active proctype network() {
end:
	do
	COPY_START(1) COPY_START(2) COPY_START(3) COPY_START(4)
	COPY_HAND_BACK(1) COPY_HAND_BACK(2) COPY_HAND_BACK(3) COPY_HAND_BACK(4)
	od
}
#endif
