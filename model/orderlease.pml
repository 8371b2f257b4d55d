/*
 * The lease of the one gateway that gives orders (src/core/orderlease): a row of the store, renewed by conditional writes, taken over by a
 * gateway that saw it unchanged, and heard nothing of its holder, for a whole lease.
 *
 * Time is a number that every gateway reads alike: clocks are never compared in the code, and they count the time of a suspension. A gateway
 * that is frozen is one that takes no step while time goes on; that may happen at any point. Writes take effect late, or never, and their
 * answers may be lost. Digests between gateways may be lost. An order takes up to MARGIN to arrive. One gateway may start again under its id.
 *
 * The first gateway holds the lease at the start, renewed at time 0; the second wants it. Both are candidates by the row. A gateway that is none waits from
 * when it saw the row, and the holder then relies on the candidates for as long since its last write, less the margin: the same relation with a longer
 * LEASE. Candidates themselves aren't modelled; tests/unit_orders.cpp plays a holder, a candidate and a third gateway.
 *
 * What must hold: an order never arrives after one of a holder with a higher fence.
 *
 * Mutants: NO_CAS (writes are unconditional), NO_SENT_TIME (a lease counts from the answer), NO_WAIT (a successor takes the row at sight),
 * NO_MARGIN (a holder orders until its lease is over), NO_INCARNATION (after a start, an own row counts as held), NO_HEARD_WAIT (a successor
 * doesn't count the silence of the holder from when it was heard last), NO_LATE_SENT (a write whose answer was lost counts from when its row was
 * read), NO_LAPSE (the others' word brings back a lease that was over), NO_ARRIVAL_WAIT (a gateway that started again on the holder's host takes the row
 * before the last orders of before have arrived), NO_READ_AFTER_DIGEST (the version that a digest names is written upon without having read the row).
 */
#define LEASE 3
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
#define ARRIVAL 1 /* an order arrives within this */
#ifndef END
#define END 5 /* of time */
#endif
#ifndef WRITES
#define WRITES 2 /* of the first gateway; the second has one */
#endif
#ifndef RESTARTS
#define RESTARTS 1 /* of the first gateway */
#endif
#ifndef DIGESTS
#define DIGESTS 1 /* of the first gateway */
#endif

byte now = 0;

/* The row: version, and whose write it was. */
byte version = 1;
byte writer = 1; /* gateway and incarnation: 1 + gateway + 2 * incarnation; 0: none */
byte writeNumber = 1;

/* Writes on their way, and the answers. */
typedef Write {
    bool flying;
    byte expected;
    byte name;
    byte number;
};
Write writes[2];
bool answered[2]; /* an answer is there */
bool accepted[2];
byte acceptedVersion[2];

/* Digests on their way, and what is said to have been heard. */
bool digestFlying[2];
byte digestSentAt[2];
byte digestVersion[2]; /* of the row, as the sender wrote it last */

/* Orders on their way. */
bool orderFlying[2];
byte orderFence[2];
byte orderSentAt[2];
byte highestArrived = 0;

/* Gateways. */
byte incarnation[2];
bool holds[2];
byte fence[2];
byte known[2]; /* version as last seen */
byte seenSince[2];
bool mustRead[2];
bool underWay[2];
byte sentAt[2]; /* of the write under way, or the last one */
byte lastNumber[2];
byte renewedAt[2];
byte heardAt[2];
byte digestsLeft[2];
byte writesLeft[2];
byte startedAt[2];
bool hasRestarted = false;

#define NAME(g) (1 + g + 2 * incarnation[g])
#define LATER(a, b) ((a) > (b) -> (a) : (b))
#define MAYORDER(g) (holds[g] && now + MARGIN < renewedAt[g] + LEASE)

inline readRow(g) {
    if
    :: version != known[g] -> known[g] = version; seenSince[g] = now
    :: else
    fi;
    mustRead[g] = false;
    if
    :: writer == NAME(g) ->
        /* An own write whose answer was lost: it counts from when it left. */
        if
        :: writeNumber == lastNumber[g] ->
            if
            :: !holds[g] -> fence[g] = version
            :: else
            fi;
            holds[g] = true;
#ifdef NO_LATE_SENT
            renewedAt[g] = now
#else
            renewedAt[g] = LATER(renewedAt[g], sentAt[g])
#endif
        :: else -> holds[g] = false; mustRead[g] = true
        fi
#ifdef NO_INCARNATION
    :: writer != NAME(g) && writer != 0 && (writer - 1) % 2 == g ->
        holds[g] = true; fence[g] = version; renewedAt[g] = now
#endif
    :: else ->
        holds[g] = false;
#ifndef NO_WAIT
        if
        :: writer != 0 && (writer - 1) % 2 == g ->
            /* This host's own gateway of before has ended: only its orders on their way are waited for. */
            if
#ifdef NO_ARRIVAL_WAIT
            :: true
#else
            :: now <= startedAt[g] + ARRIVAL -> mustRead[g] = true
            :: else
#endif
            fi
#ifdef NO_HEARD_WAIT
        :: writer != 0 && (writer - 1) % 2 != g && now < seenSince[g] + LEASE -> mustRead[g] = true
#else
        :: writer != 0 && (writer - 1) % 2 != g && now < LATER(seenSince[g], heardAt[g]) + LEASE -> mustRead[g] = true
#endif
        :: else
        fi
#endif
    fi
}

inline takeAnswer(g) {
    answered[g] = false;
    underWay[g] = false;
    if
    :: accepted[g] ->
        known[g] = acceptedVersion[g];
        seenSince[g] = now;
        if
        :: !holds[g] -> fence[g] = acceptedVersion[g]
        :: else
        fi;
        holds[g] = true;
#ifdef NO_SENT_TIME
        renewedAt[g] = now
#else
        renewedAt[g] = LATER(renewedAt[g], sentAt[g])
#endif
    :: else -> mustRead[g] = true
    fi
}

proctype Gateway(byte g) {
    do
    :: now >= END -> break
    /* The row. */
    :: atomic { now < END && !underWay[g] && mustRead[g] -> readRow(g) }
    :: atomic { now < END && !underWay[g] && !mustRead[g] && !writes[g].flying && writesLeft[g] > 0 ->
        writesLeft[g]--;
        lastNumber[g]++;
        writes[g].flying = true;
        writes[g].expected = known[g];
        writes[g].name = NAME(g);
        writes[g].number = lastNumber[g];
        sentAt[g] = now;
        underWay[g] = true;
        answered[g] = false }
    :: atomic { underWay[g] && answered[g] -> takeAnswer(g) }
    :: atomic { underWay[g] && !answered[g] -> underWay[g] = false; mustRead[g] = true } /* no answer in time */
    /* Digests: the holder's, and that it was heard. */
    :: atomic { holds[g] && !digestFlying[g] && digestsLeft[g] > 0 -> digestsLeft[g]--; digestFlying[g] = true; digestSentAt[g] = now; digestVersion[g] = known[g] }
    /* The other one's digest is heard; its word back arrives at once, which is the least it can be late for the holder's count. */
    :: atomic { digestFlying[1 - g] ->
        digestFlying[1 - g] = false;
        heardAt[g] = now;
        /* The digest names the row's version as its sender wrote it last: as good as a reading. */
        if
        :: !holds[g] && digestVersion[1 - g] > known[g] ->
            known[g] = digestVersion[1 - g];
            seenSince[g] = now;
#ifndef NO_READ_AFTER_DIGEST
            mustRead[g] = true
#endif

        :: else
        fi;
        if
#ifdef NO_LAPSE
        :: holds[1 - g] ->
#else
        :: MAYORDER(1 - g) ->
#endif
            renewedAt[1 - g] = LATER(renewedAt[1 - g], digestSentAt[1 - g]) /* the word arrives */
        :: true /* the word is lost */
        fi;
        digestSentAt[1 - g] = 0;
        digestVersion[1 - g] = 0 }
    /* Orders. */
    :: atomic { MAYORDER(g) && !orderFlying[g] -> orderFlying[g] = true; orderFence[g] = fence[g]; orderSentAt[g] = now }
    /* A start under the same id: nothing is known of before. */
    :: atomic { g == 0 && RESTARTS == 1 && !hasRestarted && !digestFlying[g] ->
        hasRestarted = true;
        incarnation[g]++;
        holds[g] = false;
        known[g] = 0;
        seenSince[g] = 0;
        renewedAt[g] = 0;
        heardAt[g] = now;
        startedAt[g] = now;
        /* The last order of before may still be on its way beside the next one. */
        if
        :: orderFlying[g] && !orderFlying[1 - g] ->
            orderFlying[1 - g] = true;
            orderFence[1 - g] = orderFence[g];
            orderSentAt[1 - g] = orderSentAt[g];
            orderFlying[g] = false;
            orderFence[g] = 0;
            orderSentAt[g] = 0
        :: else
        fi;
        mustRead[g] = true;
        underWay[g] = false;
        answered[g] = false }
    od
}

proctype Store() {
    byte g;
    do
    :: now >= END -> break
    :: atomic { writes[0].flying || writes[1].flying ->
        if
        :: writes[0].flying -> g = 0
        :: writes[1].flying -> g = 1
        fi;
        writes[g].flying = false;
        acceptedVersion[g] = 0;
        if
        :: true -> /* takes effect, if it may */
            if
#ifdef NO_CAS
            :: true ->
#else
            :: writes[g].expected == version ->
#endif
                version++;
                writer = writes[g].name;
                writeNumber = writes[g].number;
                accepted[g] = true;
                acceptedVersion[g] = version
#ifndef NO_CAS
            :: else -> accepted[g] = false
#endif
            fi;
            if
            :: underWay[g] && writes[g].number == lastNumber[g] && writes[g].name == NAME(g) -> answered[g] = true
            :: true /* the answer is lost */
            fi
        :: true /* never arrives */
        fi;
        writes[g].expected = 0;
        writes[g].name = 0;
        writes[g].number = 0 }
    od
}

proctype Runner() {
    byte g;
    do
    :: now >= END -> break
    :: atomic { orderFlying[0] || orderFlying[1] ->
        if
        :: orderFlying[0] -> g = 0
        :: orderFlying[1] -> g = 1
        fi;
        orderFlying[g] = false;
        assert(orderFence[g] >= highestArrived);
        highestArrived = orderFence[g];
        orderFence[g] = 0;
        orderSentAt[g] = 0 }
    od
}

/* Time goes on whatever the gateways do, but not past the moment by which an order has arrived. */
proctype Clock() {
    do
    :: now >= END -> break
    :: atomic { now < END && !(orderFlying[0] && now >= orderSentAt[0] + ARRIVAL) && !(orderFlying[1] && now >= orderSentAt[1] + ARRIVAL) -> now++ }
    od
}

init {
    atomic {
        mustRead[1] = true;
        holds[0] = true;
        fence[0] = 1;
        known[0] = 1;
        lastNumber[0] = 1;
        digestsLeft[0] = DIGESTS;
        writesLeft[0] = WRITES;
        writesLeft[1] = 1;
        run Gateway(0);
        run Gateway(1);
        run Store();
        run Runner();
        run Clock()
    }
}
