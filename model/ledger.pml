/* The memory ledger: an agent, its engine, and the orders between them (src/core/ledger.h).
 *
 * Two artifacts of 2 units each, memory for 3. An order on its way is lost, or takes effect at any later moment; its answer may be lost
 * (that an accepted order may act late and that its answer was lost look the same to the ledger). Statuses are the truth at some moment
 * between asking and the answer, and may overtake each other. The agent is restarted without memory, the engine crashes and is empty.
 * "The longest delay has passed" is an event that can happen only when the order can't take effect any more; it removes the order.
 *
 * With -DCHECKED the engine refuses orders below its fence; it loses the fence when it crashes, and is back only after the orders sent
 * before the crash can't take effect any more. Without, it ignores fences.
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
#define ORDERS 4 /* sent in all */
#endif
#ifndef RAISES
#define RAISES 2 /* fences asked for in all */
#endif
#ifndef STATUSES
#define STATUSES 2 /* under way at once */
#endif
#define SIZE 2
#define MEMORY 3
#define SLOTS 2 /* orders on their way at once */

mtype = { LOAD, UNLOAD };

/* The engine. */
bool resident[2];
byte fence = 0;
byte generation = 1;
byte engineCrashes = 0;

/* Orders on their way. */
mtype wayKind[SLOTS];
byte wayArtifact[SLOTS];
byte wayFence[SLOTS];
byte wayEpoch[SLOTS]; /* which agent sent it */
byte orders = 0;

/* The agent. */
byte epoch = 1;
bool open = false;
bool started = false; /* a first status was received, and with it the opening fence */
byte openingFence = 0;
byte highest = 0; /* fence used in any order so far, by any agent */
byte known = 0; /* fence for orders */
byte knownGeneration = 0;
bool knownResident[2];
byte knownFence = 0; /* shown by the last status */
mtype outstanding[2];
byte outFence[2];
byte outGeneration[2];
bool passed[2]; /* the longest delay has passed since the order was sent */
bool startPassed = false; /* and since the agent was started */
byte raising = 0; /* fence asked for, 0: none */
byte raises = 0;

/* Statuses under way: 0 free, 1 asked, 2 taken at the engine. */
byte statusPhase[2];
bool statusResident0[2];
bool statusResident1[2];
byte statusFence[2];
byte statusGeneration[2];
bool statusPassed0[2]; /* asked for after the delay of the order for artifact 0 had passed */
bool statusPassed1[2];
bool statusStart[2]; /* asked for after the delay since the start had passed */
byte statusEpoch[2];
bool overtaken[2]; /* another status was received since this one was asked for */

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

#define FREE_SLOT (wayKind[0] == 0 || wayKind[1] == 0)

inline send(what, a) {
  orders++;
  if
  :: wayKind[0] == 0 -> slot = 0
  :: wayKind[0] != 0 -> slot = 1
  fi;
  wayKind[slot] = what; wayArtifact[slot] = a; wayFence[slot] = known; wayEpoch[slot] = epoch;
  outstanding[a] = what; outFence[a] = known; outGeneration[a] = knownGeneration; passed[a] = false;
  if
  :: a == 0 -> statusPassed0[0] = false; statusPassed0[1] = false
  :: a == 1 -> statusPassed1[0] = false; statusPassed1[1] = false
  fi;
  if
  :: known > highest -> highest = known
  :: else
  fi;
  slot = 0
}

inline freeWay(s) {
  wayKind[s] = 0; wayArtifact[s] = 0; wayFence[s] = 0; wayEpoch[s] = 0
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

/* settle() of the ledger. */
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
  :: knownFence > known -> known = knownFence
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
  /* A load that fits beside everything charged. */
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
  /* Questions for the status. */
  :: atomic { statusPhase[0] == 0 || (STATUSES == 2 && statusPhase[1] == 0) ->
       if
       :: statusPhase[0] == 0 -> s = 0
       :: statusPhase[0] != 0 -> s = 1
       fi;
       statusPhase[s] = 1; statusEpoch[s] = epoch;
       statusPassed0[s] = passed[0]; statusPassed1[s] = passed[1]; statusStart[s] = startPassed;
       s = 0 }
  /* An answer arrives, or is given up. */
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
  :: atomic { raising == 0 && raises < RAISES && started && (!open && known < openingFence || open && (outstanding[0] != 0 || outstanding[1] != 0)) ->
       raises++;
       if
       :: !open -> raising = openingFence
       :: else -> raising = known + 1
       fi }
#endif
  :: atomic { epoch <= RESTARTS ->
       epoch++; open = false; started = false; openingFence = 0; known = 0; knownGeneration = 0; knownFence = 0;
       knownResident[0] = false; knownResident[1] = false; forget(0); forget(1); startPassed = false; raising = 0 }
  od
}

active proctype Engine() {
  byte s = 0;
end:
  do
  /* An order takes effect, or is refused, or is lost. */
  :: atomic { wayKind[0] != 0 || wayKind[1] != 0 ->
       if
       :: wayKind[0] != 0 -> s = 0
       :: wayKind[1] != 0 -> s = 1
       fi;
       if
#ifdef CHECKED
       :: wayFence[s] < fence ->
            if
            :: wayEpoch[s] == epoch && outstanding[wayArtifact[s]] == wayKind[s] && outFence[wayArtifact[s]] == wayFence[s] -> forget(wayArtifact[s]) /* the refusal is heard */
            :: skip
            fi
       :: wayFence[s] >= fence ->
#else
       :: true ->
#endif
            if
            :: wayKind[s] == LOAD ->
                 assert(!resident[wayArtifact[s]]);
                 resident[wayArtifact[s]] = true;
                 assert(USED <= MEMORY)
            :: wayKind[s] == UNLOAD ->
                 assert(outstanding[wayArtifact[s]] != LOAD);
                 resident[wayArtifact[s]] = false
            fi
       :: skip /* lost */
       fi;
       freeWay(s);
       s = 0 }
  /* The truth, for a status under way. */
  :: atomic { statusPhase[0] == 1 -> statusPhase[0] = 2; statusResident0[0] = resident[0]; statusResident1[0] = resident[1]; statusFence[0] = fence; statusGeneration[0] = generation }
  :: atomic { statusPhase[1] == 1 -> statusPhase[1] = 2; statusResident0[1] = resident[0]; statusResident1[1] = resident[1]; statusFence[1] = fence; statusGeneration[1] = generation }
#ifdef CHECKED
  /* A fence is raised; the answer may be lost, and then the same number is asked for again. */
  :: atomic { raising != 0 ->
       if
       :: raising > fence -> fence = raising
       :: else
       fi;
       if
       :: known < raising -> known = raising
       :: else
       fi;
       raising = 0 }
  :: atomic { raising > fence -> fence = raising }
#endif
  :: atomic { engineCrashes < ENGINECRASHES ->
       engineCrashes++; generation++; resident[0] = false; resident[1] = false;
#ifdef CHECKED
       fence = 0;
       freeWay(0); freeWay(1);
#endif
       skip }
  od
}

/* The longest delay: passes for an order only when it can't take effect any more. */
active proctype Time() {
  byte s = 0;
end:
  do
  :: atomic { outstanding[0] != 0 && !passed[0] -> passed[0] = true;
       s = 0; do :: s < SLOTS -> if :: wayKind[s] != 0 && wayArtifact[s] == 0 && wayEpoch[s] == epoch -> freeWay(s) :: else fi; s++ :: s == SLOTS -> break od; s = 0 }
  :: atomic { outstanding[1] != 0 && !passed[1] -> passed[1] = true;
       s = 0; do :: s < SLOTS -> if :: wayKind[s] != 0 && wayArtifact[s] == 1 && wayEpoch[s] == epoch -> freeWay(s) :: else fi; s++ :: s == SLOTS -> break od; s = 0 }
  :: atomic { !startPassed -> startPassed = true;
       s = 0; do :: s < SLOTS -> if :: wayKind[s] != 0 && wayEpoch[s] < epoch -> freeWay(s) :: else fi; s++ :: s == SLOTS -> break od; s = 0 }
  od
}
