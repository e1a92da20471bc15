/*
 * Permits for requests to one cold engine (internal/slowstart): two data nodes, the
 * granters, grant permits to front nodes. Time is discrete: the limit BOUND applies
 * within SPAN ticks, a permit expires LIFE ticks after it was asked for, and a
 * granter grants at most its allowance PART within SPAN + LIFE ticks.
 *
 * Two front nodes ask either granter at any time. Asks and answers may be lost,
 * delayed arbitrarily and duplicated. Granters restart at any time and lose their
 * record of granted permits. A front node may pause between the ask, the answer and
 * the request; only checking the permit and sending the request are atomic.
 *
 * Checked: within any SPAN ticks at most BOUND requests are sent, and at most PART
 * with permits of one granter.
 *
 * A macro on the command line removes one rule:
 *   SHORT_WINDOW      a granter limits its permits within SPAN only
 *   NO_QUIET          a restarted granter grants immediately
 *   LIFE_FROM_ANSWER  a permit's lifetime starts at the answer
 *   CHECK_EARLY       a permit's expiry is checked on receipt, not on use
 *   ANSWER_TWICE      a duplicate answer gives a second permit
 *   WHOLE_BOUND       each granter's allowance is the whole of BOUND
 *   THREE_GRANT       there is a third granter
 */

#define SPAN 2
#define LIFE 1
#define ENDS 5 /* the last tick */
#define FRONTS 2
#define PART 1
#define BOUND 2
#define NEVER 15

#ifdef THREE_GRANT
#define GRANTERS 3
#else
#define GRANTERS 2
#endif
#ifdef WHOLE_BOUND
#define GIVES BOUND
#else
#define GIVES PART
#endif
#ifdef SHORT_WINDOW
#define WINDOW SPAN
#else
#define WINDOW (SPAN + LIFE)
#endif

byte now;

/* Temporaries used within single steps. */
hidden byte first, tick, which, total, part, given;

/* A granter: the permits granted at each tick, and the tick before which it grants
 * none. Initially it may grant at once. */
typedef Granter {
	byte gave[ENDS + 1];
	byte quiet
};
Granter granter[GRANTERS];

/* A front node's ask: its time and granter, whether the ask and the answer are in
 * transit (possibly as duplicates), and whether an answer is awaited. */
typedef Front {
	byte askedAt;
	byte to;
	bool ask;
	bool answer;
	bool awaits;
	byte permits; /* held, at most 2 */
	byte until;
	byte by /* granter of the permits */
};
Front front[FRONTS];

/* Requests sent at each tick, by granter; used only by the assertions. */
byte sent[(ENDS + 1) * GRANTERS];

inline check() {
	d_step {
		first = 0;
		do
		:: first + SPAN > ENDS -> break
		:: else ->
			total = 0;
			which = 0;
			do
			:: which == GRANTERS -> break
			:: else ->
				part = 0;
				tick = first;
				do
				:: tick > first + SPAN -> break
				:: else -> part = part + sent[tick * GRANTERS + which]; tick++
				od;
#if !defined(WHOLE_BOUND) && !defined(THREE_GRANT)
				assert(part <= PART);
#endif
				total = total + part;
				which++
			od;
			assert(total <= BOUND);
			first++
		od;
		first = 0; tick = 0; which = 0; total = 0; part = 0
	}
}

/* A front node asks if it awaits no answer and holds no permit. Answers to earlier
 * asks are ignored, so a new ask discards them. */
#define FREE(f) (!front[f].awaits && front[f].permits == 0)

active [FRONTS] proctype asker() {
	byte me = _pid;
end:
	do
	:: atomic {
		FREE(me) && now < ENDS ->
		if
		:: front[me].to = 0
		:: front[me].to = 1
#ifdef THREE_GRANT
		:: front[me].to = 2
#endif
		fi;
		front[me].askedAt = now;
		front[me].answer = false;
		front[me].awaits = true;
		front[me].ask = true
	   }
	:: d_step { front[me].awaits -> front[me].awaits = false; front[me].ask = false; front[me].answer = false; front[me].askedAt = 0; front[me].to = 0 } /* gives up */
	:: d_step { /* the answer arrives */
		front[me].answer && (front[me].awaits
#ifdef ANSWER_TWICE
			|| front[me].permits == 1
#endif
			) ->
		front[me].awaits = false;
		front[me].permits++;
		front[me].by = front[me].to;
#ifdef LIFE_FROM_ANSWER
		front[me].until = now + LIFE;
#else
		front[me].until = front[me].askedAt + LIFE;
#endif
#ifdef CHECK_EARLY
		if
		:: front[me].until < now -> front[me].permits--
		:: else
		fi;
#endif
#ifndef ANSWER_TWICE
		front[me].answer = false
#endif
	   }
	:: atomic { front[me].permits > 0 ->
		front[me].permits--;
		if
#ifndef CHECK_EARLY
		:: now > front[me].until /* expired */
#endif
		:: else -> sent[now * GRANTERS + front[me].by]++; check()
		fi;
		if
		:: front[me].permits == 0 -> front[me].answer = false; front[me].by = 0; front[me].until = 0; front[me].askedAt = 0; front[me].to = 0; front[me].ask = false
		:: else
		fi
	   }
	od
}

/* A granter receives an ask, which remains in transit as a duplicate, and answers if
 * its allowance permits. */
inline grant(f) {
	d_step {
		front[f].ask ->
		given = 0;
		tick = 0;
		do
		:: tick > now -> break
		:: else ->
			if
			:: tick + WINDOW >= now -> given = given + granter[front[f].to].gave[tick]
			:: else
			fi;
			tick++
		od;
		if
		:: given < GIVES && granter[front[f].to].quiet <= now ->
			granter[front[f].to].gave[now]++;
			front[f].answer = true
		:: else
		fi;
		given = 0;
		tick = 0
	}
}

active proctype network() {
end:
	do
	:: grant(0)
	:: grant(1)
	:: d_step { front[0].ask -> front[0].ask = false } /* no further duplicates */
	:: d_step { front[1].ask -> front[1].ask = false }
	:: d_step { front[0].answer && front[0].awaits -> front[0].answer = false } /* lost */
	:: d_step { front[1].answer && front[1].awaits -> front[1].answer = false }
	od
}

/* Restarts each of the first two granters once, at any time. */
active proctype restarts() {
	byte next;
end:
	do
	:: next < 2 -> d_step {
		tick = 0;
		do
		:: tick > ENDS -> break
		:: else -> granter[next].gave[tick] = 0; tick++
		od;
		tick = 0;
#ifndef NO_QUIET
		granter[next].quiet = now + WINDOW + 1;
#endif
		next++
	   }
	od
}

active proctype clock() {
end:
	do
	:: d_step { now < ENDS -> now++ }
	od
}
