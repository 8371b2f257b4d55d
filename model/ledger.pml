/* The memory ledger: an agent, its engine, and the orders between them (src/core/ledger.h).
 *
 * Two artifacts of 2 units each share a memory of 3 units. An order in flight is lost, or takes effect at any later time; its answer may be
 * lost (the ledger can't tell an accepted order that takes effect late from one whose answer was lost). A status shows the engine's state at
 * some time between request and answer; statuses may overtake each other. The agent may restart without memory; the engine may crash and comes
 * back empty. "The longest delay has passed" is an event that happens only when the order can no longer take effect; it removes the order.
 *
 * With -DCHECKED the engine refuses orders below its fence. It loses the fence in a crash and comes back only when the orders sent before the
 * crash can no longer take effect. Without -DCHECKED, it ignores fences.
 *
 * Checked: memory is never overcommitted; no artifact is loaded twice; no unload takes effect on an artifact that the agent has since
 * ordered to be loaded.
 *
 * Mutants, both kinds: NO_CHARGE, NO_STATUS_AFTER, NO_ONE_ORDER, NO_RESTART_WAIT, NO_STATUS_ORDER, NO_GENERATION.
 * Engines that ignore fences: NO_DELAY. Engines that check them: NO_HIGHER_FENCE, NO_FIRST_FENCE.
 */
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef ENGINECRASHES
#define ENGINECRASHES 1
#endif
#ifndef ORDERS
#define ORDERS 4 /* orders sent in total */
#endif
#ifndef RAISES
#define RAISES 2 /* fence raises requested in total */
#endif
#ifndef STATUSES
#define STATUSES 2 /* status requests in flight at once */
#endif
#define SIZE 2
#define MEMORY 3
#define SLOTS 2 /* orders in flight at once */

mtype = { LOAD, UNLOAD };

/* The engine. */
bool resident[2];
byte fence = 0;
byte generation = 1;
byte engineCrashes = 0;

/* Orders in flight. */
mtype orderKind[SLOTS];
byte orderArtifact[SLOTS];
byte orderFence[SLOTS];
byte orderEpoch[SLOTS]; /* epoch of the agent that sent the order */
byte orders = 0;

/* The agent. */
byte epoch = 1; /* incremented by each restart */
bool open = false;
bool started = false; /* the first status was received, which determines the opening fence */
byte openingFence = 0;
byte highest = 0; /* highest fence of any order so far, in any epoch */
byte agentFence = 0; /* highest fence known to the agent; its orders carry it */
byte knownGeneration = 0;
bool knownResident[2];
byte knownFence = 0; /* as shown by the last status */
mtype outstanding[2];
byte outFence[2];
byte outGeneration[2];
bool passed[2]; /* the longest delay has passed since the order was sent */
bool startPassed = false; /* the longest delay has passed since the agent was started */
byte raising = 0; /* fence of the pending raise; 0: none */
byte raises = 0;

/* Status requests in flight. Phase 0: free; 1: requested; 2: the engine has recorded its state. */
byte statusPhase[2];
bool statusResident0[2];
bool statusResident1[2];
byte statusFence[2];
byte statusGeneration[2];
bool statusPassed0[2]; /* requested after the longest delay of the order for artifact 0 had passed */
bool statusPassed1[2];
bool statusStart[2]; /* requested after the longest delay since the agent's start had passed */
byte statusEpoch[2];
bool overtaken[2]; /* another status was received since this one was requested */

#define USED (SIZE * resident[0] + SIZE * resident[1])
#define CHARGES(a) (knownResident[a] || (outstanding[a] == LOAD && CHARGED))
#ifdef NO_CHARGE
#define CHARGED false
#else
#define CHARGED true
#endif
#define CHARGED_SUM ((CHARGES(0) -> SIZE : 0) + (CHARGES(1) -> SIZE : 0))

#ifdef NO_ONE_ORDER
#define MAY_ORDER(a) (true)
#else
#define MAY_ORDER(a) (outstanding[a] == 0)
#endif

#define FREE_SLOT (orderKind[0] == 0 || orderKind[1] == 0)

inline send(what, a) {
  orders++;
  if
  :: orderKind[0] == 0 -> slot = 0
  :: orderKind[0] != 0 -> slot = 1
  fi;
  orderKind[slot] = what; orderArtifact[slot] = a; orderFence[slot] = agentFence; orderEpoch[slot] = epoch;
  outstanding[a] = what; outFence[a] = agentFence; outGeneration[a] = knownGeneration; passed[a] = false;
  if
  :: a == 0 -> statusPassed0[0] = false; statusPassed0[1] = false
  :: a == 1 -> statusPassed1[0] = false; statusPassed1[1] = false
  fi;
  if
  :: agentFence > highest -> highest = agentFence
  :: else
  fi;
  slot = 0
}

inline freeOrder(s) {
  orderKind[s] = 0; orderArtifact[s] = 0; orderFence[s] = 0; orderEpoch[s] = 0
}

inline forget(a) {
  outstanding[a] = 0; outFence[a] = 0; outGeneration[a] = 0; passed[a] = false
}

inline freeStatus(s) {
  statusPhase[s] = 0; statusResident0[s] = false; statusResident1[s] = false; statusFence[s] = 0; statusGeneration[s] = 0;
  statusPassed0[s] = false; statusPassed1[s] = false; statusStart[s] = false; statusEpoch[s] = 0; overtaken[s] = false
}

#ifdef NO_STATUS_AFTER
#define WAITED(a, statusPassed) (passed[a])
#define START_WAITED(s) (startPassed)
#elif defined(NO_DELAY)
#define WAITED(a, statusPassed) (true)
#define START_WAITED(s) (statusStart[s])
#else
#define WAITED(a, statusPassed) (statusPassed)
#define START_WAITED(s) (statusStart[s])
#endif

#ifdef NO_GENERATION
#define SAME_ENGINE(a) (true)
#else
#define SAME_ENGINE(a) (knownGeneration == outGeneration[a])
#endif

#if defined(CHECKED) && defined(NO_HIGHER_FENCE)
#define FENCED(a) (knownFence >= outFence[a])
#elif defined(CHECKED)
#define FENCED(a) (knownFence > outFence[a])
#else
#define FENCED(a) (false)
#endif

/* Forgets an outstanding order that is settled, as isSettled() in src/core/ledger.cpp. */
inline settle(a, statusPassed) {
  if
  :: outstanding[a] == LOAD && knownResident[a] -> forget(a)
  :: outstanding[a] == UNLOAD && !knownResident[a] && SAME_ENGINE(a) -> forget(a)
  :: outstanding[a] != 0 && FENCED(a) -> forget(a)
  :: outstanding[a] != 0 && WAITED(a, statusPassed) -> forget(a)
  :: else
  fi
}

#ifdef NO_FIRST_FENCE
#define OPENING (statusFence[s] + 1)
#else
#define OPENING ((highest > statusFence[s] -> highest : statusFence[s]) + 1)
#endif

inline reopen() {
  if
  :: !open && START_WAITED(s) -> open = true
  :: else
  fi;
#ifdef CHECKED
  if
  :: !open && !started -> openingFence = OPENING
  :: !open && started && statusFence[s] >= openingFence -> open = true; openingFence = 0
  :: else
  fi;
#endif
  started = true
}

inline receive() {
  knownResident[0] = statusResident0[s];
  knownResident[1] = statusResident1[s];
  knownFence = statusFence[s];
  knownGeneration = statusGeneration[s];
  if
  :: knownFence > agentFence -> agentFence = knownFence
  :: else
  fi;
  reopen();
  settle(0, statusPassed0[s]);
  settle(1, statusPassed1[s]);
  if
  :: statusPhase[1 - s] != 0 -> overtaken[1 - s] = true
  :: else
  fi
}

#ifdef NO_RESTART_WAIT
#define OPEN (started)
#else
#define OPEN (open)
#endif

active proctype Agent() {
  byte a = 0;
  byte s = 0;
  byte slot = 0;
end:
  do
  /* Orders a load that fits beside all charged memory, or an unload. */
  :: atomic { OPEN && raising == 0 && orders < ORDERS && FREE_SLOT ->
       if
       :: a = 0
       :: a = 1
       fi;
       if
       :: MAY_ORDER(a) && !knownResident[a] && outstanding[a] != LOAD && CHARGED_SUM + SIZE <= MEMORY -> send(LOAD, a)
       :: MAY_ORDER(a) && knownResident[a] && outstanding[a] != UNLOAD -> send(UNLOAD, a)
       :: else
       fi;
       a = 0 }
  /* Requests a status. */
  :: atomic { statusPhase[0] == 0 || (STATUSES == 2 && statusPhase[1] == 0) ->
       if
       :: statusPhase[0] == 0 -> s = 0
       :: statusPhase[0] != 0 -> s = 1
       fi;
       statusPhase[s] = 1; statusEpoch[s] = epoch;
       statusPassed0[s] = passed[0]; statusPassed1[s] = passed[1]; statusStart[s] = startPassed;
       s = 0 }
  /* A status arrives, or is lost. */
  :: atomic { statusPhase[0] == 2 || statusPhase[1] == 2 ->
       if
       :: statusPhase[0] == 2 -> s = 0
       :: statusPhase[1] == 2 -> s = 1
       fi;
       if
       :: statusEpoch[s] != epoch -> skip
#ifndef NO_STATUS_ORDER
       :: statusEpoch[s] == epoch && overtaken[s] -> skip
       :: statusEpoch[s] == epoch && !overtaken[s] -> receive()
#else
       :: statusEpoch[s] == epoch -> receive()
#endif
       :: skip /* lost */
       fi;
       freeStatus(s);
       s = 0 }
#ifdef CHECKED
  :: atomic { raising == 0 && raises < RAISES && started && (!open && agentFence < openingFence || open && (outstanding[0] != 0 || outstanding[1] != 0)) ->
       raises++;
       if
       :: !open -> raising = openingFence
       :: else -> raising = agentFence + 1
       fi }
#endif
  :: atomic { epoch <= RESTARTS ->
       epoch++; open = false; started = false; openingFence = 0; agentFence = 0; knownGeneration = 0; knownFence = 0;
       knownResident[0] = false; knownResident[1] = false; forget(0); forget(1); startPassed = false; raising = 0 }
  od
}

active proctype Engine() {
  byte s = 0;
end:
  do
  /* An order takes effect, or is refused, or is lost. */
  :: atomic { orderKind[0] != 0 || orderKind[1] != 0 ->
       if
       :: orderKind[0] != 0 -> s = 0
       :: orderKind[1] != 0 -> s = 1
       fi;
       if
#ifdef CHECKED
       :: orderFence[s] < fence ->
            if
            :: orderEpoch[s] == epoch && outstanding[orderArtifact[s]] == orderKind[s] && outFence[orderArtifact[s]] == orderFence[s] -> forget(orderArtifact[s]) /* the agent receives the refusal */
            :: skip
            fi
       :: orderFence[s] >= fence ->
#else
       :: true ->
#endif
            if
            :: orderKind[s] == LOAD ->
                 assert(!resident[orderArtifact[s]]);
                 resident[orderArtifact[s]] = true;
                 assert(USED <= MEMORY)
            :: orderKind[s] == UNLOAD ->
                 assert(outstanding[orderArtifact[s]] != LOAD);
                 resident[orderArtifact[s]] = false
            fi
       :: skip /* lost */
       fi;
       freeOrder(s);
       s = 0 }
  /* Records the engine's state for a status request in flight. */
  :: atomic { statusPhase[0] == 1 -> statusPhase[0] = 2; statusResident0[0] = resident[0]; statusResident1[0] = resident[1]; statusFence[0] = fence; statusGeneration[0] = generation }
  :: atomic { statusPhase[1] == 1 -> statusPhase[1] = 2; statusResident0[1] = resident[0]; statusResident1[1] = resident[1]; statusFence[1] = fence; statusGeneration[1] = generation }
#ifdef CHECKED
  /* A fence is raised. If the answer is lost, the same number is requested again. */
  :: atomic { raising != 0 ->
       if
       :: raising > fence -> fence = raising
       :: else
       fi;
       if
       :: agentFence < raising -> agentFence = raising
       :: else
       fi;
       raising = 0 }
  :: atomic { raising > fence -> fence = raising }
#endif
  :: atomic { engineCrashes < ENGINECRASHES ->
       engineCrashes++; generation++; resident[0] = false; resident[1] = false;
#ifdef CHECKED
       fence = 0;
       freeOrder(0); freeOrder(1);
#endif
       skip }
  od
}

/* The longest delay passes for an order only when the order can no longer take effect. */
active proctype Time() {
  byte s = 0;
end:
  do
  :: atomic { outstanding[0] != 0 && !passed[0] -> passed[0] = true;
       s = 0; do :: s < SLOTS -> if :: orderKind[s] != 0 && orderArtifact[s] == 0 && orderEpoch[s] == epoch -> freeOrder(s) :: else fi; s++ :: s == SLOTS -> break od; s = 0 }
  :: atomic { outstanding[1] != 0 && !passed[1] -> passed[1] = true;
       s = 0; do :: s < SLOTS -> if :: orderKind[s] != 0 && orderArtifact[s] == 1 && orderEpoch[s] == epoch -> freeOrder(s) :: else fi; s++ :: s == SLOTS -> break od; s = 0 }
  :: atomic { !startPassed -> startPassed = true;
       s = 0; do :: s < SLOTS -> if :: orderKind[s] != 0 && orderEpoch[s] < epoch -> freeOrder(s) :: else fi; s++ :: s == SLOTS -> break od; s = 0 }
  od
}
