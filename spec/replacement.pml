/*
 * Single-member configuration changes, effective as soon as they are appended to a
 * replica's log (internal/ledger/replication).
 *
 * The network and terms are modelled as in ledger.pml. Only replicas 0 and 1 become
 * candidates; replica 4 is a new member, a learner until it is added as a voter.
 * FIRST_VOTERS is the initial set of voters: by default four, as during a
 * replacement, when quorums of successive configurations overlap least.
 *
 * Replica 0 adds replica 4 and replica 1 removes replica 0. With ANY_CHANGE either
 * may add replica 4 and remove any other.
 *
 * Checked: at most one leader per term; a committed entry is never replaced.
 *
 * A macro on the command line removes one safety rule:
 *   TWO_PENDING        a change is accepted while another is uncommitted
 *   BEFORE_OWN_COMMIT  a change is accepted before the leader has committed an
 *                      entry of its own term
 *   SMALL_QUORUM       half of the voters are a quorum
 */

#define REPLICAS 5
#define MAX_TERM 3
#define MAX_INDEX 3
#ifndef FIRST_VOTERS
#define FIRST_VOTERS 15
#endif
#ifndef MAX_DISK_LOSSES
#define MAX_DISK_LOSSES 0
#endif

#define FOLLOWER 0
#define LEADER 1
#define LOST 2
#define NOBODY 7
#define BIT(i) (1 << (i))
#define MEMBERS(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1) + (((mask) >> 3) & 1) + (((mask) >> 4) & 1))
#ifdef SMALL_QUORUM
#define IS_QUORUM(mask, of) (2 * MEMBERS((mask) & (of)) >= MEMBERS(of))
#else
#define IS_QUORUM(mask, of) (2 * MEMBERS((mask) & (of)) > MEMBERS(of))
#endif

/* An entry encodes its term and the voters of a configuration, or zero for others. */
#define MAKE(entryTerm, mask) ((entryTerm) * 32 + (mask))
#define TERM_OF(entry) ((entry) / 32)
#define VOTERS_OF(entry) ((entry) % 32)
#define ENTRY(i, n) log[(i) * MAX_INDEX + (n) - 1]
#define SENT(t, n) sent[((t) - 1) * MAX_INDEX + (n) - 1]
#define ACKED(t, n) acked[((t) - 1) * MAX_INDEX + (n) - 1]
#define LAST_TERM(i) (length[i] == 0 -> 0 : TERM_OF(ENTRY(i, length[i])))
#define IN_FORCE(i) \
	(length[i] >= 3 && VOTERS_OF(ENTRY(i, 3)) > 0 -> VOTERS_OF(ENTRY(i, 3)) : \
	(length[i] >= 2 && VOTERS_OF(ENTRY(i, 2)) > 0 -> VOTERS_OF(ENTRY(i, 2)) : \
	(length[i] >= 1 && VOTERS_OF(ENTRY(i, 1)) > 0 -> VOTERS_OF(ENTRY(i, 1)) : FIRST_VOTERS)))

byte term[REPLICAS];
byte vote[REPLICAS];
byte role[REPLICAS];
byte log[REPLICAS * MAX_INDEX];
byte length[REPLICAS];
byte votes[2];  /* received by replicas 0 and 1 in their terms */
byte commit[2]; /* commit index of replicas 0 and 1 while leader */

byte sent[MAX_TERM * MAX_INDEX];
byte sentLength[MAX_TERM];
byte ledBy[MAX_TERM];
byte acked[MAX_TERM * MAX_INDEX];

byte committed[MAX_INDEX]; /* used only by the assertions */
byte diskLosses;
hidden byte k;
hidden byte past;
hidden byte voters;

#define PAST(i, t) (role[i] == LOST || term[i] > t)

/* Clears the messages of terms that every replica has left, which cannot be received
 * any more, to reduce the state space. */
inline forgetPastTerms() {
	past = 1;
	do
	:: past <= MAX_TERM && PAST(0, past) && PAST(1, past) && PAST(2, past) && PAST(3, past) && PAST(4, past) ->
		k = 1;
		do
		:: k <= MAX_INDEX -> SENT(past, k) = 0; ACKED(past, k) = 0; k++
		:: else -> break
		od;
		sentLength[past - 1] = 0;
		ledBy[past - 1] = NOBODY;
		past++
	:: else -> break
	od;
	past = 0
}

/* Makes replica i a follower and discards the votes and acknowledgements it counted. */
inline stepDown(i) {
	if
	:: role[i] == LEADER ->
		k = 1;
		do
		:: k <= MAX_INDEX -> ACKED(term[i], k) = 0; k++
		:: else -> break
		od
	:: else
	fi;
	if
	:: i < 2 -> votes[i] = 0; commit[i] = 0
	:: else
	fi;
	role[i] = FOLLOWER
}

inline enter(i, newTerm) {
	if
	:: newTerm > term[i] ->
		stepDown(i);
		term[i] = newTerm;
		vote[i] = NOBODY;
		forgetPastTerms()
	:: else
	fi
}

/* Appends the configuration in voters, or an ordinary entry if voters is zero. */
inline appendOwn(i) {
	length[i]++;
	ENTRY(i, length[i]) = MAKE(term[i], voters);
	SENT(term[i], length[i]) = MAKE(term[i], voters);
	sentLength[term[i] - 1] = length[i];
	ACKED(term[i], length[i]) = ACKED(term[i], length[i]) | BIT(i);
	voters = 0
}

inline becomeLeader(i) {
	assert(ledBy[term[i] - 1] == NOBODY); /* one leader per term */
	ledBy[term[i] - 1] = i;
	role[i] = LEADER;
	votes[i] = 0;
	k = 1;
	do
	:: k <= length[i] ->
		SENT(term[i], k) = ENTRY(i, k);
		ACKED(term[i], k) = BIT(i);
		k++
	:: else -> break
	od;
	k = 0;
	appendOwn(i)
}

inline takeEntry(j, t, n) {
	if
	:: length[j] >= n && ENTRY(j, n) == SENT(t, n)
	:: else ->
		do
		:: length[j] >= n -> ENTRY(j, length[j]) = 0; length[j]--
		:: else -> break
		od;
		length[j] = n;
		ENTRY(j, n) = SENT(t, n)
	fi;
	k = 1;
	do
	:: k <= n -> ACKED(t, k) = ACKED(t, k) | BIT(j); k++
	:: else -> break
	od;
	k = 0
}

inline advanceCommit(i, n) {
	commit[i] = n;
	k = 1;
	do
	:: k <= n ->
		assert(committed[k - 1] == 0 || committed[k - 1] == ENTRY(i, k));
		committed[k - 1] = ENTRY(i, k);
		k++
	:: else -> break
	od;
	k = 0
}

inline loseDisk(i) {
	diskLosses++;
	stepDown(i);
	k = 1;
	do
	:: k <= MAX_INDEX -> ENTRY(i, k) = 0; k++
	:: else -> break
	od;
	length[i] = 0;
	term[i] = 0;
	vote[i] = NOBODY;
	role[i] = LOST;
	forgetPastTerms()
}

/* Leader i has committed an entry of its own term. */
#define OWN_COMMITTED(i) (commit[i] > 0 && TERM_OF(ENTRY(i, commit[i])) == term[i])
/* No configuration in the log of replica i is uncommitted. */
#define NONE_PENDING(i) \
	!((commit[i] < 1 && length[i] >= 1 && VOTERS_OF(ENTRY(i, 1)) > 0) || \
	  (commit[i] < 2 && length[i] >= 2 && VOTERS_OF(ENTRY(i, 2)) > 0) || \
	  (commit[i] < 3 && length[i] >= 3 && VOTERS_OF(ENTRY(i, 3)) > 0))
#if defined(TWO_PENDING)
#define MAY_CHANGE(i) OWN_COMMITTED(i)
#elif defined(BEFORE_OWN_COMMIT)
#define MAY_CHANGE(i) NONE_PENDING(i)
#else
#define MAY_CHANGE(i) (OWN_COMMITTED(i) && NONE_PENDING(i))
#endif
#define EXISTS(i) ((FIRST_VOTERS | BIT(4)) & BIT(i))
#define ALIVE(i) (role[i] != LOST)
#define IS_CANDIDATE(i) (role[i] == FOLLOWER && vote[i] == i && ledBy[term[i] - 1] != i)
#define UP_TO_DATE(i, j) (LAST_TERM(i) > LAST_TERM(j) || (LAST_TERM(i) == LAST_TERM(j) && length[i] >= length[j]))
#define MATCHES(j, t, n) (n == 1 || (length[j] >= n - 1 && ENTRY(j, n - 1) == SENT(t, n - 1)))

#define CAMPAIGN(i) \
	:: d_step { role[i] == FOLLOWER && term[i] < MAX_TERM && (IN_FORCE(i) & BIT(i)) -> \
		term[i]++; vote[i] = i; votes[i] = BIT(i); commit[i] = 0; forgetPastTerms() }
#define VOTE(i, j) \
	:: d_step { IS_CANDIDATE(i) && ALIVE(j) && (IN_FORCE(i) & BIT(j)) && UP_TO_DATE(i, j) && \
		(term[j] < term[i] || (term[j] == term[i] && vote[j] == NOBODY)) -> \
		enter(j, term[i]); vote[j] = i; votes[i] = votes[i] | BIT(j) }
#define WIN(i) \
	:: d_step { IS_CANDIDATE(i) && IS_QUORUM(votes[i], IN_FORCE(i)) && length[i] < MAX_INDEX -> becomeLeader(i) }
#define APPEND(j, t, n) \
	:: d_step { EXISTS(j) && ALIVE(j) && n <= sentLength[t - 1] && term[j] <= t && !(role[j] == LEADER && term[j] == t) && \
		MATCHES(j, t, n) && !(length[j] >= n && ENTRY(j, n) == SENT(t, n) && (ACKED(t, n) & BIT(j))) -> \
		enter(j, t); takeEntry(j, t, n) }
#define COMMIT(i, n) \
	:: d_step { role[i] == LEADER && n > commit[i] && n <= length[i] && TERM_OF(ENTRY(i, n)) == term[i] && \
		IS_QUORUM(ACKED(term[i], n), IN_FORCE(i)) -> advanceCommit(i, n) }
#define ADD(i, x) \
	:: d_step { role[i] == LEADER && length[i] < MAX_INDEX && MAY_CHANGE(i) && !(IN_FORCE(i) & BIT(x)) -> \
		voters = IN_FORCE(i) | BIT(x); appendOwn(i) }
#define REMOVE(i, x) \
	:: d_step { role[i] == LEADER && length[i] < MAX_INDEX && MAY_CHANGE(i) && (IN_FORCE(i) & BIT(x)) -> \
		voters = IN_FORCE(i) & (31 - BIT(x)); appendOwn(i) }
#define LOSE_DISK(i) :: d_step { ALIVE(i) && diskLosses < MAX_DISK_LOSSES -> loseDisk(i) }

#define APPENDS(j, t) APPEND(j, t, 1) APPEND(j, t, 2) APPEND(j, t, 3)
#define ALL_APPENDS(j) APPENDS(j, 1) APPENDS(j, 2) APPENDS(j, 3)
#define COMMITS(i) COMMIT(i, 1) COMMIT(i, 2) COMMIT(i, 3)

init {
	d_step {
		k = 0;
		do
		:: k < REPLICAS -> vote[k] = NOBODY; k++
		:: else -> break
		od;
		k = 0;
		do
		:: k < MAX_TERM -> ledBy[k] = NOBODY; k++
		:: else -> break
		od;
		k = 0
	}
	/* Every run ends when the bounds are reached, which is not a deadlock. */
end:
	do
	CAMPAIGN(0) CAMPAIGN(1)
	VOTE(0, 1) VOTE(0, 2) VOTE(0, 3) VOTE(0, 4)
	VOTE(1, 0) VOTE(1, 2) VOTE(1, 3) VOTE(1, 4)
	WIN(0) WIN(1)
	ALL_APPENDS(0) ALL_APPENDS(1) ALL_APPENDS(2) ALL_APPENDS(3) ALL_APPENDS(4)
	COMMITS(0) COMMITS(1)
	ADD(0, 4) REMOVE(1, 0)
#ifdef ANY_CHANGE
	ADD(1, 4)
	REMOVE(0, 1) REMOVE(0, 2) REMOVE(0, 3)
	REMOVE(1, 2) REMOVE(1, 3)
#endif
	LOSE_DISK(2)
	od
}
