/*
 * Permits for requests to one cold engine (internal/slowstart): two data nodes
 * grant, front nodes ask and send. Time is discrete: the bound holds within SPAN
 * ticks, a permit lives LIFE ticks from its asking, and a granting node keeps to
 * its part within SPAN + LIFE.
 *
 * Two front nodes ask either granting node at any moment, as links and nodes
 * come and go. Asks and answers may be lost, late by any time, and doubled.
 * Granting nodes restart at any moment and forget what they granted. A front
 * node may pause anywhere between asking, the answer and the send; only the look
 * at the permit and the send are one step.
 *
 * Checked: within any SPAN ticks at most BOUND requests are sent, and at most
 * PART by permits of one granting node.
 *
 * A macro on the command line removes one rule:
 *   SHORT_WINDOW      a granting node keeps to its part within SPAN only
 *   NO_QUIET          a node that restarted grants at once
 *   LIFE_FROM_ANSWER  a permit lives from the answer on
 *   CHECK_EARLY       a permit is looked at when it comes, not when it is used
 *   ANSWER_TWICE      an answer that comes twice gives two permits
 *   WHOLE_BOUND       each granting node gives the whole bound
 *   THREE_GRANT       a third node grants, too
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

/* Scratch variables of single steps. */
hidden byte first, tick, which, total, part, given;

/* A granting node: what it gave at each tick it remembers, and until when it is
 * quiet. It starts as one that has run for long. */
typedef Granter {
	byte gave[ENDS + 1];
	byte quiet
};
Granter granter[GRANTERS];

/* A front node's ask: when it was made, whom it went to, whether the ask and the
 * answer are under way (a copy may stay so), and whether an answer is awaited. */
typedef Front {
	byte askedAt;
	byte to;
	bool ask;
	bool answer;
	bool awaits;
	byte permits; /* held, at most 2 */
	byte until;
	byte by /* whose permits */
};
Front front[FRONTS];

/* The oracle: requests sent at each tick, by granting node. */
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

/* ask: any granting node, if no answer is awaited; a late answer to an earlier ask
 * is none to this one, so what is under way of that is of no use. */
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
	:: d_step { /* the answer comes */
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
		:: now > front[me].until /* void */
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

/* The network and the granting nodes: an ask that is under way comes, and may come
 * again; its answer is lost or under way. */
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
	:: d_step { front[0].ask -> front[0].ask = false } /* no copy comes any more */
	:: d_step { front[1].ask -> front[1].ask = false }
	:: d_step { front[0].answer && front[0].awaits -> front[0].answer = false } /* lost */
	:: d_step { front[1].answer && front[1].awaits -> front[1].answer = false }
	od
}

/* One restart of each of the two first granting nodes, at any moment. */
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
