/*
 * Replication of one ledger shard with three voters: election, append, commit and
 * linearizable reads (internal/ledger/replication).
 *
 * Messages may be lost, delayed, duplicated and reordered: the entries a leader
 * sent in a term are a prefix of sent[term], and a replica may receive any of them
 * at any later time, repeatedly, or never. An acknowledgement may be counted at any
 * later time, even after its sender lost its disk. A paused leader is one that has
 * not learned of a newer term. A candidate becomes leader in the same step as the
 * deciding vote is given: counting the vote later is equivalent to a leader that
 * takes no further steps. Pre-vote, leases and flow control affect only liveness
 * and are omitted.
 *
 * Checked: at most one leader per term; a committed entry is never replaced; a
 * read observes everything committed before it began.
 *
 * A macro on the command line removes one safety rule:
 *   EMPTY_DISK_VOTES      a replica that lost its disk keeps its identity
 *   COMMIT_OLD_TERM       a leader commits entries of older terms by counting replicas
 *   VOTE_ANY_LOG          a vote is granted to a candidate with an outdated log
 *   VOTE_TWICE            a replica votes twice in a term
 *   UNSYNCED_VOTE         a crash loses the vote
 *   APPEND_WITHOUT_MATCH  entries are accepted without a matching predecessor
 *   ACCEPT_OLD_TERM       a follower accepts entries from a leader of an older term
 *   READ_WITHOUT_QUORUM   a leader reads without confirming its leadership
 *   READ_BEFORE_COMMIT    a new leader reads before it commits an entry of its term
 */

#define REPLICAS 3
#define QUORUM 2
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_INDEX
#define MAX_INDEX 2
#endif
#ifndef MAX_DISK_LOSSES
#define MAX_DISK_LOSSES 1
#endif

#define FOLLOWER 0 /* a candidate is a follower that voted for itself */
#define LEADER 1
#define LOST 2 /* lost its disk: takes no further part */

#define NOBODY 3
/* An entry is identified by its index and term; its payload is not modelled. */
#define ENTRY(i, n) log[(i) * MAX_INDEX + (n) - 1]
#define SENT(t, n) sent[((t) - 1) * MAX_INDEX + (n) - 1]
#define ACKED(t, i) acked[((t) - 1) * REPLICAS + (i)]
#define LAST_TERM(i) (length[i] == 0 -> 0 : ENTRY(i, length[i]))

byte term[REPLICAS];
byte vote[REPLICAS];
byte role[REPLICAS];
byte log[REPLICAS * MAX_INDEX];
byte length[REPLICAS];

/* Entries sent by each term's leader, and the last index each replica acknowledged. */
byte sent[MAX_TERM * MAX_INDEX];
byte sentLength[MAX_TERM];
byte acked[MAX_TERM * REPLICAS];
byte ledBy[MAX_TERM];

/* The committed entries, used only by the assertions. */
byte committed[MAX_INDEX];
byte committedLength;
byte diskLosses;

#ifdef READS
/* Each leader's commit index, and the only read of a run. */
byte commit[REPLICAS];
byte reader = NOBODY;
byte readTerm;
byte readIndex;
byte readMustSee;
bool readConfirmed;
bool readDone;
#endif

hidden byte k;
hidden byte past;

#define PAST(i, t) (role[i] == LOST || term[i] > t)

/* Clears the messages of terms that every replica has left, which cannot be received
 * any more, to reduce the state space. */
inline forgetPastTerms() {
#if !defined(EMPTY_DISK_VOTES) && !defined(ACCEPT_OLD_TERM)
	past = 1;
	do
	:: past <= MAX_TERM && PAST(0, past) && PAST(1, past) && PAST(2, past) ->
		k = 1;
		do
		:: k <= MAX_INDEX -> SENT(past, k) = 0; k++
		:: else -> break
		od;
		sentLength[past - 1] = 0;
		ledBy[past - 1] = NOBODY;
		past++
	:: else -> break
	od;
	past = 0
#else
	skip
#endif
}

/* Makes replica i a follower and discards the acknowledgements it counted. */
inline stepDown(i) {
	if
	:: role[i] == LEADER ->
		ACKED(term[i], 0) = 0;
		ACKED(term[i], 1) = 0;
		ACKED(term[i], 2) = 0
	:: else
	fi;
#ifdef READS
	commit[i] = 0;
	if
	:: reader == i ->
		reader = NOBODY;
		readTerm = 0;
		readIndex = 0;
		readMustSee = 0;
		readConfirmed = 0;
		readDone = 1
	:: else
	fi;
#endif
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

inline appendOwn(i) {
	length[i]++;
	ENTRY(i, length[i]) = term[i];
	SENT(term[i], length[i]) = term[i];
	sentLength[term[i] - 1] = length[i];
	ACKED(term[i], i) = length[i]
}

/* Makes candidate i leader, which appends an entry of its own term first. */
inline becomeLeader(i) {
	assert(ledBy[term[i] - 1] == NOBODY); /* one leader per term */
	ledBy[term[i] - 1] = i;
	role[i] = LEADER;
	k = 1;
	do
	:: k <= length[i] -> SENT(term[i], k) = ENTRY(i, k); k++
	:: else -> break
	od;
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
	if
	:: ACKED(t, j) < n -> ACKED(t, j) = n
	:: else
	fi
}

/* Leader i commits its log up to index n. */
inline advanceCommit(i, n) {
#ifdef READS
	commit[i] = n;
#endif
	k = 1;
	do
	:: k <= n ->
		assert(committed[k - 1] == 0 || committed[k - 1] == ENTRY(i, k));
		committed[k - 1] = ENTRY(i, k);
		k++
	:: else -> break
	od;
	if
	:: committedLength < n -> committedLength = n
	:: else
	fi
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
#ifndef EMPTY_DISK_VOTES
	role[i] = LOST;
	forgetPastTerms()
#endif
}

#ifdef VOTE_TWICE
#define FREE_VOTE(j, i) true
#else
#define FREE_VOTE(j, i) (term[j] < term[i] || vote[j] == NOBODY || vote[j] == i)
#endif
#ifdef VOTE_ANY_LOG
#define UP_TO_DATE(i, j) true
#else
#define UP_TO_DATE(i, j) (LAST_TERM(i) > LAST_TERM(j) || (LAST_TERM(i) == LAST_TERM(j) && length[i] >= length[j]))
#endif
#ifdef APPEND_WITHOUT_MATCH
#define MATCHES(j, t, n) (length[j] >= n - 1)
#else
#define MATCHES(j, t, n) (n == 1 || (length[j] >= n - 1 && ENTRY(j, n - 1) == SENT(t, n - 1)))
#endif
#ifdef COMMIT_OLD_TERM
#define OWN_TERM(i, n) true
#else
#define OWN_TERM(i, n) (ENTRY(i, n) == term[i])
#endif
#ifdef ACCEPT_OLD_TERM
#define OBEYS(j, t) (role[j] != LEADER)
#define OBEY(j, t) skip
#else
#define OBEYS(j, t) (term[j] <= t && !(role[j] == LEADER && term[j] == t))
#define OBEY(j, t) enter(j, t)
#endif
#ifdef READS
#define NEWLY(i, n) (n > commit[i])
#else
#define NEWLY(i, n) true
#endif
#define COPIES(t, n) ((ACKED(t, 0) >= n) + (ACKED(t, 1) >= n) + (ACKED(t, 2) >= n))
#define ALIVE(i) (role[i] != LOST)
#define IS_CANDIDATE(i) (role[i] == FOLLOWER && vote[i] == i && ledBy[term[i] - 1] != i)

/* An election timeout. */
#define CAMPAIGN(i) \
	:: d_step { role[i] == FOLLOWER && term[i] < MAX_TERM -> term[i]++; vote[i] = i; forgetPastTerms() }
/* Replica j receives a message of a newer term and enters that term, with no other
 * effect. */
#define HEAR(i, j) \
	:: d_step { ALIVE(i) && ALIVE(j) && term[j] < term[i] -> enter(j, term[i]) }
/* Replica j gives candidate i the vote that completes a quorum. */
#define ELECT(i, j) \
	:: d_step { IS_CANDIDATE(i) && ALIVE(j) && term[j] <= term[i] && length[i] < MAX_INDEX && \
		FREE_VOTE(j, i) && UP_TO_DATE(i, j) -> \
		enter(j, term[i]); vote[j] = i; becomeLeader(i) }
#define PROPOSE(i) \
	:: d_step { role[i] == LEADER && length[i] < MAX_INDEX -> appendOwn(i) }
/* Replica j receives entry n from the leader of term t. */
#define APPEND(j, t, n) \
	:: d_step { ALIVE(j) && n <= sentLength[t - 1] && OBEYS(j, t) && MATCHES(j, t, n) -> \
		OBEY(j, t); role[j] = FOLLOWER; takeEntry(j, t, n) }
#define COMMIT(i, n) \
	:: d_step { role[i] == LEADER && NEWLY(i, n) && n <= length[i] && OWN_TERM(i, n) && COPIES(term[i], n) >= QUORUM -> \
		advanceCommit(i, n) }
#ifdef UNSYNCED_VOTE
#define CRASH(i) :: d_step { ALIVE(i) -> stepDown(i); vote[i] = NOBODY }
#else
#define CRASH(i) :: d_step { role[i] == LEADER -> stepDown(i) }
#endif
/* Used for replica 2 only: without TWO_CONTENDERS the replicas are symmetric. */
#define LOSE_DISK(i) :: d_step { ALIVE(i) && diskLosses < MAX_DISK_LOSSES -> loseDisk(i) }

#ifdef READS
/* Entry n is the first of the leader's term, which must be committed before a read. */
#ifdef READ_BEFORE_COMMIT
#define FIRST_OWN(i, n) (n == 0)
#else
#define FIRST_OWN(i, n) (n > 0 && n <= length[i] && ENTRY(i, n) == term[i] && \
	(n == 1 || ENTRY(i, n - 1) != term[i]))
#endif
#define BEGIN_READ(i, n) \
	:: d_step { role[i] == LEADER && reader == NOBODY && !readDone && FIRST_OWN(i, n) -> \
		reader = i; readTerm = term[i]; readMustSee = committedLength; \
		readIndex = (commit[i] > n -> commit[i] : n) }
#define CONFIRM_READ(j) \
	:: d_step { reader != NOBODY && reader != j && ALIVE(j) && term[j] <= readTerm -> \
		enter(j, readTerm); role[j] = FOLLOWER; readConfirmed = 1 }
#ifdef READ_WITHOUT_QUORUM
#define CONFIRMED true
#else
#define CONFIRMED readConfirmed
#endif
#define END_READ(i) \
	:: d_step { reader == i && commit[i] >= readIndex && CONFIRMED -> \
		assert(readIndex >= readMustSee); \
		reader = NOBODY; readTerm = 0; readIndex = 0; readMustSee = 0; readConfirmed = 0; readDone = 1 }
#endif

#if MAX_INDEX == 2
#define APPENDS(j, t) APPEND(j, t, 1) APPEND(j, t, 2)
#define COMMITS(i) COMMIT(i, 1) COMMIT(i, 2)
#define BEGIN_READS(i) BEGIN_READ(i, 0) BEGIN_READ(i, 1) BEGIN_READ(i, 2)
#else
#define APPENDS(j, t) APPEND(j, t, 1) APPEND(j, t, 2) APPEND(j, t, 3)
#define COMMITS(i) COMMIT(i, 1) COMMIT(i, 2) COMMIT(i, 3)
#define BEGIN_READS(i) BEGIN_READ(i, 0) BEGIN_READ(i, 1) BEGIN_READ(i, 2) BEGIN_READ(i, 3)
#endif
#if MAX_TERM == 2
#define ALL_APPENDS(j) APPENDS(j, 1) APPENDS(j, 2)
#elif MAX_TERM == 3
#define ALL_APPENDS(j) APPENDS(j, 1) APPENDS(j, 2) APPENDS(j, 3)
#else
#define ALL_APPENDS(j) APPENDS(j, 1) APPENDS(j, 2) APPENDS(j, 3) APPENDS(j, 4)
#endif
#define ONE(ACTION) ACTION(0) ACTION(1) ACTION(2)
#define PAIR(ACTION) ACTION(0, 1) ACTION(0, 2) ACTION(1, 0) ACTION(1, 2) ACTION(2, 0) ACTION(2, 1)

init {
	d_step {
		vote[0] = NOBODY;
		vote[1] = NOBODY;
		vote[2] = NOBODY;
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
#ifdef TWO_CONTENDERS
	CAMPAIGN(0)
	CAMPAIGN(1)
#else
	ONE(CAMPAIGN)
#endif
	PAIR(HEAR)
	PAIR(ELECT)
	ONE(PROPOSE)
	ONE(ALL_APPENDS)
	ONE(COMMITS)
	ONE(CRASH)
	LOSE_DISK(2)
#ifdef READS
	ONE(BEGIN_READS)
	ONE(CONFIRM_READ)
	ONE(END_READ)
#endif
	od
}
