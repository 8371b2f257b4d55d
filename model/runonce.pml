/* Requests that must run at most once: claim rows written before the request is forwarded (src/core/runonce.h).
 *
 * One key is sent SENDS times. Each send has its own claimant: another agent, or the same agent after a restart without memory.
 * The table loses requests, loses answers after the write took effect, and lets a write take effect any time later. It has outages.
 * A claimant may be paused at any step (Spin's interleaving does that) and may crash between any two steps.
 *
 * Checked: the key runs at most once; a claimant that sent a claim tells "not run" only while the key hasn't run; an answer from the record
 * belongs to a run; a claim of a send that has released the key never takes effect later.
 *
 * Mutants: NO_CLAIM, NO_PUT_IF_ABSENT, NO_ATTEMPT_ID, NO_UNKNOWN_AFTER_LOST, NO_UNKNOWN_END, NO_RELEASED_CAS, NO_RELEASE_IN_PLACE
 */
#ifndef SENDS
#define SENDS 3
#endif
#ifndef TRIES
#define TRIES 2 /* claims sent by one claimant */
#endif
#ifndef OUTAGES
#define OUTAGES 1
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef LATE
#define LATE 2 /* late writes in flight at once */
#endif

mtype = { ABSENT, CLAIMED, DONE, RELEASED };
mtype = { COMMITTED, CONFLICT, LOST, REFUSED };

mtype row = ABSENT;
byte owner = 0;
byte version = 0; /* of the row; 0 while it is absent */
byte counter = 0; /* last version given by the table; versions aren't reused */
bool down = false;
byte runs = 0;
byte crashes = 0;
bool released[SENDS + 1];

mtype lateKind[LATE]; /* 0: free */
byte lateOwner[LATE];
byte lateExpect[LATE];

#if defined(NO_PUT_IF_ABSENT)
#define MATCHES(kind, expect) (version == expect || (kind == CLAIMED && expect == 0))
#elif defined(NO_RELEASED_CAS)
#define MATCHES(kind, expect) (version == expect || (kind == CLAIMED && expect > 0))
#else
#define MATCHES(kind, expect) (version == expect)
#endif

inline apply(kind, who, expect, result) {
  if
  :: MATCHES(kind, expect) ->
     counter++;
     version = counter;
     row = kind;
     owner = who;
     assert(!(kind == CLAIMED && released[who]));
#ifdef NO_RELEASE_IN_PLACE
     if
     :: kind == RELEASED -> row = ABSENT; version = 0
     :: else -> skip
     fi;
#endif
     result = COMMITTED
  :: else -> result = CONFLICT
  fi
}

/* One write by `me`, and its result as `me` sees it. */
inline write(kind, expect, result) {
  atomic {
    if
    :: !down -> apply(kind, me, expect, result); if :: result == COMMITTED -> held = counter :: else fi
    :: !down -> apply(kind, me, expect, result); result = LOST
    :: result = LOST /* the request was lost */
    :: lateKind[0] == 0 -> lateKind[0] = kind; lateOwner[0] = me; lateExpect[0] = expect; result = LOST
    :: lateKind[0] != 0 && lateKind[1] == 0 -> lateKind[1] = kind; lateOwner[1] = me; lateExpect[1] = expect; result = LOST
    :: down -> result = REFUSED
    fi
  }
}

inline mayCrash() {
  if
  :: crashes < CRASHES -> crashes++; goto gone
  :: true
  fi
}

proctype Send(byte me) {
  byte expect = 0;
  byte held = 0;
  byte tries = 0;
  bool lost = false;
  mtype result = 0;
  mtype seen = 0;
  byte seenOwner = 0;

#ifdef NO_CLAIM
  goto forward;
#endif
claim:
  mayCrash();
  if
  :: tries == TRIES -> goto giveUp
  :: tries < TRIES -> tries++
  fi;
  write(CLAIMED, expect, result);
  if
  :: result == COMMITTED -> goto claimed
  :: result == CONFLICT -> goto check
  :: result == LOST -> lost = true; goto claim
  :: result == REFUSED && lost -> goto claim
  :: result == REFUSED && !lost -> goto gone /* "not run": no claim of this send can take effect */
  fi;

check:
  mayCrash();
  if
  :: down -> goto giveUp
  :: !down -> atomic { seen = row; seenOwner = owner; expect = version }
  fi;
  if
  :: seen == ABSENT -> goto claim
#ifdef NO_ATTEMPT_ID
  :: seen == CLAIMED && lost -> held = expect; goto claimed
#else
  :: seen == CLAIMED && seenOwner == me -> held = expect; goto claimed
  :: seen == CLAIMED && seenOwner != me -> goto gone /* "unknown": claimed elsewhere */
#endif
#ifdef NO_ATTEMPT_ID
  :: seen == CLAIMED && !lost -> goto gone
#endif
  :: seen == RELEASED -> lost = false; goto claim
  :: seen == DONE -> assert(runs == 1); goto gone /* answered from the record */
  fi;

claimed:
  mayCrash();
  if
  :: goto forward
  :: atomic { assert(runs == 0); goto release } /* the target refused the connection: "not run" */
  fi;

forward:
  atomic {
    runs++;
    assert(runs <= 1)
  }
  mayCrash();
  if
  :: goto record
  :: /* the target broke off: "unknown" */
#ifdef NO_UNKNOWN_END
     goto release
#else
     goto gone
#endif
  fi;

record:
  write(DONE, held, result);
  if
  :: result == LOST && tries < TRIES -> tries++; goto record
  :: else -> goto gone
  fi;

release:
  mayCrash();
  write(RELEASED, held, result);
  if
  :: result == COMMITTED -> released[me] = true; goto gone
  :: result == LOST && tries < TRIES -> tries++; goto release
  :: else -> goto gone
  fi;

giveUp:
  /* "unknown": the claim may have taken effect or do so later, or another send may hold the key */
#ifdef NO_UNKNOWN_AFTER_LOST
  assert(runs == 0); /* told "not run" */
#endif
  skip;

gone:
  /* Clears unused locals, so that Spin stores fewer distinct states. */
  atomic { expect = 0; held = 0; tries = 0; lost = false; result = 0; seen = 0; seenOwner = 0 }
}

/* Late writes take effect at any time, or never. */
active proctype Network() {
  mtype ignored = 0;
end:
  do
  :: atomic { lateKind[0] != 0 -> apply(lateKind[0], lateOwner[0], lateExpect[0], ignored); ignored = 0; lateKind[0] = 0; lateOwner[0] = 0; lateExpect[0] = 0 }
  :: atomic { lateKind[1] != 0 -> apply(lateKind[1], lateOwner[1], lateExpect[1], ignored); ignored = 0; lateKind[1] = 0; lateOwner[1] = 0; lateExpect[1] = 0 }
  od
}

active proctype Store() {
  byte outages = 0;
  do
  :: outages < OUTAGES -> outages++; down = true; down = false
  :: outages == OUTAGES -> break
  od
}

init {
  atomic {
    byte i = 1;
    do
    :: i <= SENDS -> run Send(i); i++
    :: i > SENDS -> break
    od
  }
}
