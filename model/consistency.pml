/*
 * The core protocol of the proxy: acknowledgement by a majority sample, read floors and request
 * keys, over a database group whose primary may be cut off while it still answers and commits.
 *
 * docs/MODELS.md says what is modelled, what is left out and why. Two configurations:
 *   (none)                  one proxy writes, another reads; other callers write too
 *   KEYED                   two proxies run the same keyed request, one of them up to MAX_RUNS times
 * and one broken variant at most, each of which must violate an assertion:
 *   ACK_WITHOUT_SAMPLE      a commit is acknowledged when it returns
 *   SAMPLE_BEFORE_COMMIT    position and sample are taken before the commit
 *   ACK_IGNORES_TERM        the sample counts positions of any term
 *   TERM_OF_LAST_ENTRY      servers report the term of their last log entry, not the one they are in
 *   FLOOR_FROM_MINORITY     one answer is enough for a floor
 *   FLOOR_IGNORES_TERM      floors are positions without terms
 *   FLOOR_LEXICOGRAPHIC     a newer term makes up for a lower position
 *   FLOOR_CAP_ANY_PRIMARY   the position of any primary that answered caps the floor
 *   KEY_SEPARATE            the key is stored in a transaction of its own, after the write
 *   RERUN_UNKEYED           an unknown outcome is resolved by running again, without a key
 *   KEY_ANSWER_UNSAMPLED    a recorded outcome is answered without a sample after the look-up
 *   ELECTION_ANY            an election may pick any server of its majority
 *   VOTERS_NOT_FENCED       servers that voted still follow the primary they voted out
 */

#define SERVERS     3
#define MAJORITY    2
#ifndef MAX_LOG
#define MAX_LOG     4
#endif
#ifndef MAX_TERM
#define MAX_TERM    3
#endif
#ifndef MAX_RUNS
#define MAX_RUNS    2
#endif
#ifdef KEYED
#define MAX_OTHERS  0
#else
#define MAX_OTHERS  1
#endif

/* A log entry is its term and what it holds. An entry that opens a term holds nothing. */
#define OPENING        0
#define WRITE_AND_KEY  1
#define WRITE_ONLY     2
#define KEY_ONLY       3
#define OTHER_WRITE    4
#define ENTRY(entryTerm, kind)  ((entryTerm) * 8 + (kind))
#define KIND(entry)             ((entry) % 8)
#define TERM_OF(entry)          ((entry) / 8)
#define AT(server, position)    log[(server) * MAX_LOG + (position)]
#define LAST_TERM(server)       (length[server] > 0 -> TERM_OF(AT(server, length[server] - 1)) : 0)

#define BIT(number)  (1 << (number))

/* What a transaction did. */
#define NOTHING  0
#define WRITTEN  1
#define FOUND    2

/* State of the servers. */
byte term[SERVERS];        /* the log is a prefix of the log of this term's primary; reported */
byte voted[SERVERS];       /* newest term the server voted for or follows */
byte length[SERVERS];      /* the log position; reported */
byte log[SERVERS * MAX_LOG];
bool isPrimary[SERVERS];   /* believes that it leads, and commits locally; reported */
byte others;               /* writes of other callers so far */

/* History variables: no decision of a proxy depends on them. */
byte newestTerm;
byte newestPrimary;
bool acknowledged;
byte tokenTerm;            /* where the acknowledged write stands: the caller's session token */
byte tokenPosition;

/* Scratch variables of d_steps; they hold nothing between steps. */
hidden byte cursor;
hidden byte count;

#define HAS_EFFECT(entry)  (KIND(entry) == WRITE_AND_KEY || KIND(entry) == WRITE_ONLY)
#define HAS_KEY(entry)     (KIND(entry) == WRITE_AND_KEY || KIND(entry) == KEY_ONLY)

/* Counts how often the request took effect in the first positions of a server's log. */
inline countWrites(server, positions) {
    count = 0;
    cursor = 0;
    do
    :: cursor < length[server] && cursor < positions ->
        if
        :: HAS_EFFECT(AT(server, cursor)) -> count++
        :: else
        fi;
        cursor++
    :: else -> break
    od
}

/* Sets count to 1 when the key of the request is in a server's log. */
inline findKey(server) {
    count = 0;
    cursor = 0;
    do
    :: cursor < length[server] ->
        if
        :: HAS_KEY(AT(server, cursor)) -> count = 1
        :: else
        fi;
        cursor++
    :: else -> break
    od
}

inline append(server, kind) {
    AT(server, length[server]) = ENTRY(term[server], kind);
    length[server]++
}

/* The surviving history has an acknowledged write, and has it only once. */
inline checkSurvival() {
    countWrites(newestPrimary, MAX_LOG);
    assert(count <= 1);
    assert(count == 1 || !acknowledged)
}

/* ------------------------------------------------------------ the database group */

#ifdef ELECTION_ANY
#define IS_AS_ADVANCED(winner, voter)  true
#else
#define IS_AS_ADVANCED(winner, voter)  (LAST_TERM(winner) > LAST_TERM(voter) || \
        (LAST_TERM(winner) == LAST_TERM(voter) && length[winner] >= length[voter]))
#endif
#define MAY_WIN(winner, voter)  (newestTerm < MAX_TERM && length[winner] < MAX_LOG && \
        IS_AS_ADVANCED(winner, voter))

/* Two servers of three elect the more advanced of them and leave the primary they followed. */
inline elect(winner, voter) {
    newestTerm++;
    newestPrimary = winner;
    term[winner] = newestTerm;
    voted[winner] = newestTerm;
    isPrimary[winner] = true;
    append(winner, OPENING);
#ifndef VOTERS_NOT_FENCED
    voted[voter] = newestTerm;
    isPrimary[voter] = false;
#endif
    checkSurvival()
}

#define MAY_FOLLOW(primary, replica)  (isPrimary[primary] && voted[replica] <= term[primary] && \
        (term[replica] < term[primary] || length[replica] < length[primary]))

/* Joins a primary: gives up what that does not have. The remainder is a prefix of its log. */
inline join(primary, replica) {
    cursor = 0;
    do
    :: cursor < length[replica] && cursor < length[primary] &&
       AT(replica, cursor) == AT(primary, cursor) -> cursor++
    :: else -> break
    od;
    count = cursor;
    do
    :: cursor < length[replica] -> AT(replica, cursor) = 0; cursor++
    :: else -> break
    od;
    length[replica] = count;
    term[replica] = term[primary];
    voted[replica] = term[primary];
    isPrimary[replica] = false
}

/* A replica joins a primary, or receives one entry from the one it has joined. */
inline follow(primary, replica) {
    if
    :: term[replica] < term[primary] -> join(primary, replica)
    :: else ->
        AT(replica, length[replica]) = AT(primary, length[replica]);
        length[replica]++
    fi
}

#define MAY_WRITE(primary)  (isPrimary[primary] && length[primary] < MAX_LOG && others < MAX_OTHERS)
#define WRITE_OF_OTHER(primary) \
    d_step { MAY_WRITE(primary) -> append(primary, OTHER_WRITE); others++ }

proctype Group() {
end:
    do
    :: d_step { MAY_WIN(0, 1) -> elect(0, 1) }
    :: d_step { MAY_WIN(0, 2) -> elect(0, 2) }
    :: d_step { MAY_WIN(1, 0) -> elect(1, 0) }
    :: d_step { MAY_WIN(1, 2) -> elect(1, 2) }
    :: d_step { MAY_WIN(2, 0) -> elect(2, 0) }
    :: d_step { MAY_WIN(2, 1) -> elect(2, 1) }
    :: d_step { MAY_FOLLOW(0, 1) -> follow(0, 1) }
    :: d_step { MAY_FOLLOW(0, 2) -> follow(0, 2) }
    :: d_step { MAY_FOLLOW(1, 0) -> follow(1, 0) }
    :: d_step { MAY_FOLLOW(1, 2) -> follow(1, 2) }
    :: d_step { MAY_FOLLOW(2, 0) -> follow(2, 0) }
    :: d_step { MAY_FOLLOW(2, 1) -> follow(2, 1) }
    :: WRITE_OF_OTHER(0)
    :: WRITE_OF_OTHER(1)
    :: WRITE_OF_OTHER(2)
    od
}

/* ------------------------------------------------------------ a proxy that writes */

#ifdef TERM_OF_LAST_ENTRY
#define REPORTED_TERM(server)  LAST_TERM(server)
#else
#define REPORTED_TERM(server)  term[server]
#endif

#ifdef ACK_IGNORES_TERM
#define COVERS(server)  (length[server] >= commitPosition)
#else
#define COVERS(server)  (REPORTED_TERM(server) == commitTerm && length[server] >= commitPosition)
#endif
#define HAS_MAJORITY(mask)  ((mask) == 3 || (mask) >= 5)

#if defined(KEYED) && !defined(KEY_SEPARATE) && !defined(RERUN_UNKEYED)
#define ENTRY_KIND  WRITE_AND_KEY
#else
#define ENTRY_KIND  WRITE_ONLY
#endif

/* Adds one server's answer to a sample, if it is as needed. Answers come in any order. */
#define ANSWER(server, isAsNeeded) \
    d_step { !(sample & BIT(server)) && (isAsNeeded) -> sample = sample | BIT(server) }

/* Looks up the key and writes only when it is absent, in one transaction. */
inline runTransaction() {
    count = 0;
#if defined(KEYED) && !defined(RERUN_UNKEYED)
    findKey(primary);
#endif
    late = false;
    if
    :: count > 0 -> outcome = FOUND
    :: count == 0 && length[primary] < MAX_LOG ->
        outcome = WRITTEN;
        append(primary, ENTRY_KIND);
        late = (term[primary] < newestTerm);
        checkSurvival()
    :: else -> outcome = NOTHING
    fi;
#ifndef SAMPLE_BEFORE_COMMIT
    commitPosition = length[primary]
#endif
}

inline acknowledge() {
    /* No write that was committed in a replaced term is ever acknowledged. */
    assert(!late);
    acknowledged = true;
#ifndef KEYED
    tokenTerm = commitTerm;
    tokenPosition = commitPosition;
#endif
    checkSurvival()
}

proctype Writer(byte maxRuns) {
    byte primary;
    byte commitTerm;
    byte commitPosition;
    byte sample;        /* bit per server that answered as needed */
    byte runs;
    byte outcome;
    bool late;          /* committed in a term that had been replaced by then */

attempt:
    /* Whatever the proxy believes: any server that believes that it leads. */
    if
    :: d_step { isPrimary[0] -> primary = 0; commitTerm = term[0] }
    :: d_step { isPrimary[1] -> primary = 1; commitTerm = term[1] }
    :: d_step { isPrimary[2] -> primary = 2; commitTerm = term[2] }
    fi;
    if
    :: runs > 0 ->
        /* A repetition needs the confirmed primary of the newest term. */
        do
        :: ANSWER(0, REPORTED_TERM(0) == commitTerm)
        :: ANSWER(1, REPORTED_TERM(1) == commitTerm)
        :: ANSWER(2, REPORTED_TERM(2) == commitTerm)
        :: HAS_MAJORITY(sample) -> sample = 0; break
        :: goto finished
        od
    :: else
    fi;
#ifdef SAMPLE_BEFORE_COMMIT
    commitPosition = length[primary];
    do
    :: ANSWER(0, COVERS(0))
    :: ANSWER(1, COVERS(1))
    :: ANSWER(2, COVERS(2))
    :: HAS_MAJORITY(sample) -> break
    :: goto finished
    od;
#endif
    if
    :: d_step { isPrimary[primary] && term[primary] == commitTerm -> runTransaction() }
    :: goto unknown
    fi;
    if
    :: outcome == NOTHING -> goto finished
    :: else
    fi;
#ifdef KEY_SEPARATE
    if
    :: outcome == WRITTEN ->
        if
        :: d_step {
               isPrimary[primary] && term[primary] == commitTerm && length[primary] < MAX_LOG ->
               append(primary, KEY_ONLY);
               commitPosition = length[primary]
           }
        :: goto unknown
        fi
    :: else
    fi;
#endif
#ifdef KEY_ANSWER_UNSAMPLED
    if
    :: outcome == FOUND && runs > 0 -> goto answered
    :: else
    fi;
#endif
#ifndef ACK_WITHOUT_SAMPLE
    do
    :: ANSWER(0, COVERS(0))
    :: ANSWER(1, COVERS(1))
    :: ANSWER(2, COVERS(2))
    :: HAS_MAJORITY(sample) -> break
    :: goto unknown         /* the answer or the sample does not come */
    od;
#endif
answered:
    skip;
    d_step { acknowledge() };
    goto finished;
unknown:
    atomic { sample = 0; outcome = NOTHING; late = false; commitPosition = 0 };
#ifdef KEYED
    runs++;
    if
    :: runs < maxRuns -> goto attempt
    :: else
    fi;
#endif
finished:
    atomic {    /* what no longer matters must not tell states apart */
        primary = 0; commitTerm = 0; commitPosition = 0; sample = 0; runs = 0; outcome = 0; late = false
    }
}

/* ------------------------------------------------------------ a proxy that reads */

#ifdef FLOOR_FROM_MINORITY
#define ENOUGH_ANSWERS  1
#else
#define ENOUGH_ANSWERS  MAJORITY
#endif

#define NO_CAP  255

/* Keeps the two largest terms and positions, and the position of the newest term's primary. */
inline takeAnswer(server) {
    sample = sample | BIT(server);
    answers++;
    if
    :: REPORTED_TERM(server) > newestSeen || answers == 1 ->
        newestSeen = REPORTED_TERM(server);
        cap = NO_CAP
    :: else
    fi;
    if
#ifdef FLOOR_CAP_ANY_PRIMARY
    :: isPrimary[server] -> cap = length[server]
#else
    :: isPrimary[server] && REPORTED_TERM(server) == newestSeen -> cap = length[server]
#endif
    :: else
    fi;
    if
    :: REPORTED_TERM(server) > firstTerm ->
        secondTerm = firstTerm;
        firstTerm = REPORTED_TERM(server)
    :: REPORTED_TERM(server) <= firstTerm && REPORTED_TERM(server) > secondTerm ->
        secondTerm = REPORTED_TERM(server)
    :: else
    fi;
    if
    :: length[server] > firstPosition ->
        secondPosition = firstPosition;
        firstPosition = length[server]
    :: length[server] <= firstPosition && length[server] > secondPosition ->
        secondPosition = length[server]
    :: else
    fi
}

/* Of k answers of n servers, the (majority - (n - k))-th largest; the rest is forgotten. */
inline computeFloor() {
    if
    :: answers == SERVERS -> firstTerm = secondTerm; firstPosition = secondPosition
    :: else
    fi;
    if
    :: cap < firstPosition -> firstPosition = cap
    :: else
    fi;
#ifdef FLOOR_IGNORES_TERM
    firstTerm = 0;
#endif
    secondTerm = 0; secondPosition = 0; sample = 0; answers = 0; newestSeen = 0; cap = 0
}

#define STATUS(server)  d_step { !(sample & BIT(server)) -> takeAnswer(server) }

#ifdef FLOOR_LEXICOGRAPHIC
#define REACHES(server)  (REPORTED_TERM(server) > firstTerm || \
        (REPORTED_TERM(server) == firstTerm && length[server] >= firstPosition))
#else
#define REACHES(server)  (REPORTED_TERM(server) >= firstTerm && length[server] >= firstPosition)
#endif

/* One read of the session whose write was acknowledged, on a proxy that has just met it. */
proctype Reader() {
    byte sample;
    byte answers;
    byte newestSeen;
    byte cap;
    byte firstTerm;         /* in the end, the floor */
    byte firstPosition;
    byte secondTerm;
    byte secondPosition;
    byte server;

endNothingToRead:
    if
    :: acknowledged ->      /* the read arrives, and then the sample begins */
        do
        :: STATUS(0)
        :: STATUS(1)
        :: STATUS(2)
        :: answers >= ENOUGH_ANSWERS -> break
        :: goto finished
        od;
        skip;
        d_step { computeFloor() }
    :: d_step {             /* the session presents a token instead */
           acknowledged -> firstTerm = tokenTerm; firstPosition = tokenPosition
       }
    fi;
    if
    :: REACHES(0) -> server = 0
    :: REACHES(1) -> server = 1
    :: REACHES(2) -> server = 2
    :: goto finished
    fi;
    /* The server has replayed as little as the floor demands. */
    d_step {
#ifdef FLOOR_LEXICOGRAPHIC
        countWrites(server, MAX_LOG);
#else
        countWrites(server, firstPosition);
#endif
        assert(count > 0)
    };
finished:
    skip
}

init {
    atomic {
        d_step {
            newestTerm = 1;
            cursor = 0;
            do
            :: cursor < SERVERS ->
                term[cursor] = 1;
                voted[cursor] = 1;
                cursor++
            :: else -> break
            od;
            isPrimary[0] = true
        };
        run Group();
        run Writer(MAX_RUNS);
#ifdef KEYED
        run Writer(1)
#else
        run Reader()
#endif
    }
}
