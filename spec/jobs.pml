/*
 * A batch item's life on the ledger: submission and resend, lease, start,
 * late result, cancel (internal/jobs). The ledger itself is one sequence of
 * atomic entries here; ledger.pml and replacement.pml show that it is that.
 *
 * One client submits one job of one item, again when the answer is lost. Two
 * dispatchers lease the item; each may pause anywhere, and a lease may lapse
 * at any moment while its holder believes that it holds it. Answers may be
 * lost after their entry was committed. Somebody cancels at any moment. With
 * NON_REPEATABLE the item is one that must be sent to an engine at most once.
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
 *   START_AGAIN          a start is granted although one was before
 *   LAPSE_REOPENS        a started item becomes open when its lease lapses
 *   CANCEL_NOT_RUN       a started item is cancelled as if it had not run
 */

#define SUBMISSIONS 3
#define LEASES 3 /* by each dispatcher */
#define STARTS 2 /* tries for each lease */

mtype = { Absent, Open, Succeeded, OutcomeUnknown, Cancelled };

#define NOBODY 2

/* The ledger. */
mtype status = Absent;
byte jobs;
byte holder = NOBODY;
byte startedBy = NOBODY;
byte result;     /* the attempt whose result is recorded, from 1 */
bool cancelled;

/* The oracle. */
byte runs;
byte finals;

#define FINAL (status != Absent && status != Open)

inline finish(newStatus, newResult) {
	status = newStatus;
	result = newResult;
	holder = NOBODY;
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
		:: status == Open && startedBy != NOBODY -> finish(OutcomeUnknown, 0)
		:: status == Open && startedBy == NOBODY -> finish(Cancelled, 0)
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
		holder != NOBODY && status == Open ->
		holder = NOBODY;
		if
#ifdef LAPSE_REOPENS
		:: startedBy != NOBODY -> startedBy = NOBODY
#else
		:: startedBy != NOBODY -> finish(OutcomeUnknown, 0)
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
#define STARTABLE (status == Open)
#else
#define STARTABLE (status == Open && startedBy == NOBODY)
#endif
#if defined(RESULT_AFTER_CANCEL)
#define TAKES_RESULT (status == Open || status == Cancelled)
#elif defined(LAST_RESULT_WINS)
#define TAKES_RESULT (status == Open || status == Succeeded)
#else
#define TAKES_RESULT (status == Open)
#endif

active [2] proctype dispatcher() {
	byte self = _pid - 3;
	byte leases = 0;
	byte starts = 0;
	byte attempt = 0;
	bool maySend = false;
end:
	do
	:: d_step {
		leases < LEASES && LEASABLE && holder == NOBODY && startedBy == NOBODY ->
		assert(!cancelled);
		leases++;
		holder = self
	   }
#if defined(NON_REPEATABLE) && !defined(START_NOT_RECORDED)
		maySend = false;
		starts = 0;
		do
		:: starts < STARTS && !maySend -> atomic {
			starts++;
			if
			:: STARTABLE ->
				assert(!cancelled);
				startedBy = self;
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
		:: else
		fi;
		maySend = false;
		starts = 0
	od
}
