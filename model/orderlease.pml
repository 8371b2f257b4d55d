/*
 * The lease of the one gateway that gives orders (src/core/orderlease.h): a row of the store, renewed by conditional writes. Another gateway may
 * take it over when, for a whole lease, it has seen the row unchanged and has received nothing from the holder.
 *
 * All gateways read the same time: the code never compares clocks of different hosts, and its clocks count the time of a suspension. A frozen
 * gateway takes no step while time goes on; this may happen at any point. Writes take effect late or never, and their answers may be lost.
 * Digests between gateways may be lost. An order arrives within ARRIVAL, which the holder's MARGIN covers. One gateway may restart under its id.
 *
 * The first gateway holds the lease at the start, renewed at time 0; the second tries to take it. The row names both as candidates. A gateway
 * that isn't a candidate waits from when it saw the row's version, and the holder relies on the candidates for as long since its last write,
 * less the margin: the same relation with a longer LEASE. Candidates aren't modelled; tests/unit_orders.cpp runs a holder, a candidate and a
 * third gateway.
 *
 * Checked: an order never arrives after an order of a holder with a higher fence.
 *
 * Mutants:
 *   NO_CAS                writes are unconditional
 *   NO_SENT_TIME          a renewal counts from its answer instead of from when it was sent
 *   NO_WAIT               a successor takes the row as soon as it has read it
 *   NO_MARGIN             a holder gives orders until its lease expires
 *   NO_INCARNATION        after a restart, a row written by the former incarnation counts as held
 *   NO_HEARD_WAIT         a successor waits from when it saw the row's version, although it received a digest from the holder later
 *   NO_LATE_SENT          a write whose answer was lost counts from when its row was read
 *   NO_LAPSE              a confirmation from another gateway revives an expired lease
 *   NO_ARRIVAL_WAIT       a gateway that restarted on the holder's host takes the row before the orders of the former incarnation have arrived
 *   NO_READ_AFTER_DIGEST  a gateway writes on top of the version that a digest names without having read the row
 */
#define LEASE 3
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
#define ARRIVAL 1 /* longest time until an order arrives */
#ifndef END
#define END 5 /* time at which the run ends */
#endif
#ifndef WRITES
#define WRITES 2 /* writes of the first gateway; the second has one */
#endif
#ifndef RESTARTS
#define RESTARTS 1 /* restarts of the first gateway: 0 or 1 */
#endif
#ifndef DIGESTS
#define DIGESTS 1 /* digests of the first gateway */
#endif

byte now = 0;

/* The row: its version, and who wrote it with which write. */
byte version = 1;
byte writer = 1; /* gateway and incarnation: 1 + gateway + 2 * incarnation; 0: none */
byte writeNumber = 1;

/* Writes in flight, and their answers. */
typedef Write {
    bool isInFlight;
    byte expected;
    byte name;
    byte number;
};
Write writes[2];
bool answered[2]; /* an answer has arrived */
bool accepted[2];
byte acceptedVersion[2];

/* Digests in flight. */
bool digestInFlight[2];
byte digestSentAt[2];
byte digestVersion[2]; /* of the row, by the sender's last write */

/* Orders in flight. */
bool orderInFlight[2];
byte orderFence[2];
byte orderSentAt[2];
byte highestArrived = 0;

/* Gateways. */
byte incarnation[2];
bool holds[2];
byte fence[2];
byte knownVersion[2]; /* version last seen */
byte versionSeenAt[2];
bool mustRead[2];
bool writePending[2];
byte sentAt[2]; /* of the pending write, or the last one */
byte lastNumber[2];
byte renewedAt[2];
byte digestReceivedAt[2];
byte digestsLeft[2];
byte writesLeft[2];
byte startedAt[2];
bool hasRestarted = false;

#define NAME(g) (1 + g + 2 * incarnation[g])
#define LATER(a, b) ((a) > (b) -> (a) : (b))
#define MAY_ORDER(g) (holds[g] && now + MARGIN < renewedAt[g] + LEASE)

inline readRow(g) {
    if
    :: version != knownVersion[g] -> knownVersion[g] = version; versionSeenAt[g] = now
    :: else
    fi;
    mustRead[g] = false;
    if
    :: writer == NAME(g) ->
        /* This gateway's write, whose answer was lost: the renewal counts from when the write was sent. */
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
            /* The former incarnation on this host has ended: wait only until its orders in flight have arrived. */
            if
#ifdef NO_ARRIVAL_WAIT
            :: true
#else
            :: now <= startedAt[g] + ARRIVAL -> mustRead[g] = true
            :: else
#endif
            fi
#ifdef NO_HEARD_WAIT
        :: writer != 0 && (writer - 1) % 2 != g && now < versionSeenAt[g] + LEASE -> mustRead[g] = true
#else
        :: writer != 0 && (writer - 1) % 2 != g && now < LATER(versionSeenAt[g], digestReceivedAt[g]) + LEASE -> mustRead[g] = true
#endif
        :: else
        fi
#endif
    fi
}

inline handleAnswer(g) {
    answered[g] = false;
    writePending[g] = false;
    if
    :: accepted[g] ->
        knownVersion[g] = acceptedVersion[g];
        versionSeenAt[g] = now;
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
    :: atomic { now < END && !writePending[g] && mustRead[g] -> readRow(g) }
    :: atomic { now < END && !writePending[g] && !mustRead[g] && !writes[g].isInFlight && writesLeft[g] > 0 ->
        writesLeft[g]--;
        lastNumber[g]++;
        writes[g].isInFlight = true;
        writes[g].expected = knownVersion[g];
        writes[g].name = NAME(g);
        writes[g].number = lastNumber[g];
        sentAt[g] = now;
        writePending[g] = true;
        answered[g] = false }
    :: atomic { writePending[g] && answered[g] -> handleAnswer(g) }
    :: atomic { writePending[g] && !answered[g] -> writePending[g] = false; mustRead[g] = true } /* the answer timed out */
    /* The holder sends a digest. */
    :: atomic { holds[g] && !digestInFlight[g] && digestsLeft[g] > 0 -> digestsLeft[g]--; digestInFlight[g] = true; digestSentAt[g] = now; digestVersion[g] = knownVersion[g] }
    /* Receives the other gateway's digest. The confirmation arrives at once; a later one would count from the same sending time. */
    :: atomic { digestInFlight[1 - g] ->
        digestInFlight[1 - g] = false;
        digestReceivedAt[g] = now;
        /* The digest names the version of its sender's last write: the version counts as seen now. */
        if
        :: !holds[g] && digestVersion[1 - g] > knownVersion[g] ->
            knownVersion[g] = digestVersion[1 - g];
            versionSeenAt[g] = now;
#ifndef NO_READ_AFTER_DIGEST
            mustRead[g] = true
#endif

        :: else
        fi;
        if
#ifdef NO_LAPSE
        :: holds[1 - g] ->
#else
        :: MAY_ORDER(1 - g) ->
#endif
            renewedAt[1 - g] = LATER(renewedAt[1 - g], digestSentAt[1 - g]) /* the confirmation arrives */
        :: true /* the confirmation is lost */
        fi;
        digestSentAt[1 - g] = 0;
        digestVersion[1 - g] = 0 }
    /* Orders. */
    :: atomic { MAY_ORDER(g) && !orderInFlight[g] -> orderInFlight[g] = true; orderFence[g] = fence[g]; orderSentAt[g] = now }
    /* A restart under the same id, without memory. */
    :: atomic { g == 0 && RESTARTS == 1 && !hasRestarted && !digestInFlight[g] ->
        hasRestarted = true;
        incarnation[g]++;
        holds[g] = false;
        knownVersion[g] = 0;
        versionSeenAt[g] = 0;
        renewedAt[g] = 0;
        digestReceivedAt[g] = now;
        startedAt[g] = now;
        /* The last order of the former incarnation may still be in flight beside the next one. */
        if
        :: orderInFlight[g] && !orderInFlight[1 - g] ->
            orderInFlight[1 - g] = true;
            orderFence[1 - g] = orderFence[g];
            orderSentAt[1 - g] = orderSentAt[g];
            orderInFlight[g] = false;
            orderFence[g] = 0;
            orderSentAt[g] = 0
        :: else
        fi;
        mustRead[g] = true;
        writePending[g] = false;
        answered[g] = false }
    od
}

proctype Store() {
    byte g;
    do
    :: now >= END -> break
    :: atomic { writes[0].isInFlight || writes[1].isInFlight ->
        if
        :: writes[0].isInFlight -> g = 0
        :: writes[1].isInFlight -> g = 1
        fi;
        writes[g].isInFlight = false;
        acceptedVersion[g] = 0;
        if
        :: true -> /* takes effect if its condition holds */
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
            :: writePending[g] && writes[g].number == lastNumber[g] && writes[g].name == NAME(g) -> answered[g] = true
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
    :: atomic { orderInFlight[0] || orderInFlight[1] ->
        if
        :: orderInFlight[0] -> g = 0
        :: orderInFlight[1] -> g = 1
        fi;
        orderInFlight[g] = false;
        assert(orderFence[g] >= highestArrived);
        highestArrived = orderFence[g];
        orderFence[g] = 0;
        orderSentAt[g] = 0 }
    od
}

/* Time goes on whatever the gateways do, but not beyond the latest arrival of an order in flight. */
proctype Clock() {
    do
    :: now >= END -> break
    :: atomic { now < END && !(orderInFlight[0] && now >= orderSentAt[0] + ARRIVAL) && !(orderInFlight[1] && now >= orderSentAt[1] + ARRIVAL) -> now++ }
    od
}

init {
    atomic {
        mustRead[1] = true;
        holds[0] = true;
        fence[0] = 1;
        knownVersion[0] = 1;
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
