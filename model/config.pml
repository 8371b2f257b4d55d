/* The configuration log: concurrent changes by operators, a store that loses answers, and the outcomes that operators are told (src/core/configlog.h).
 *
 * ASKS commit requests for CHANGES changes: the operators' tools request change 1 twice (with the same change id, from another entry, possibly
 * at the same time) and the others once. Each change is made against revision 0 or the revision in force at its first request. The table loses
 * requests, loses answers after the write took effect, lets a write take effect any time later, and has an outage. An entry may be paused at any
 * step. One adopter reads the log with any lag, from the table or from peers that lag behind.
 *
 * Checked: a change is in the log at most once; "accepted" is told only for a change in the log; a change never comes into force after "conflict",
 * or after "unavailable" if no other request for it is open or was told "unknown"; a change is accepted only on the revision that it was made
 * against; the adopted revision never decreases.
 *
 * Mutants: NO_HEAD_CAS, NO_CHANGE_ID, NO_EXPECTED, NO_RESEND, NO_UNCERTAIN, NO_HIGHER_ONLY
 */
#ifndef ASKS
#define ASKS 3
#endif
#define CHANGES 2 /* requests 1 and 2 are for change 1, request 3 for change 2 */
#ifndef TRIES
#define TRIES 2 /* writes sent for one request */
#endif
#define LATE 2
#define CHANGE(ask) (ask <= 2 -> 1 : ask - 1)

mtype = { COMMITTED, CONFLICT, LOST, REFUSED };

byte headRevision = 0;
byte headVersion = 0; /* of the head row; incremented by every write */
byte inLog[CHANGES + 1]; /* the revision that the change became; 0: not in the log */
byte baseRevision[CHANGES + 1]; /* the revision that the change was made against */
bool hasBase[CHANGES + 1]; /* `baseRevision` is set */
bool denied[CHANGES + 1]; /* an operator was told an outcome after which the change must never come into force */
byte open[CHANGES + 1]; /* requests without an outcome */
bool unknown[CHANGES + 1]; /* a request was told "unknown" */
bool down = false;
bool hadOutage = false;

byte lateChange[LATE]; /* 0: free */
byte lateExpect[LATE];
byte lateRevision[LATE];

#ifdef NO_HEAD_CAS
#define MATCHES(expect) (true)
#else
#define MATCHES(expect) (headVersion == expect)
#endif

/* The transaction; its conditions are that the head row is at version `expect` and the log row and the change row are absent. */
inline apply(what, expect, revision, result) {
  if
  :: MATCHES(expect) ->
     assert(inLog[what] == 0);
     assert(!denied[what]);
     assert(revision == baseRevision[what] + 1);
     headRevision = revision;
     headVersion++;
     inLog[what] = revision;
     result = COMMITTED
  :: else -> result = CONFLICT
  fi
}

inline write() {
  atomic {
    if
    :: !down -> apply(change, expect, revision, result)
    :: !down -> apply(change, expect, revision, result); result = LOST
    :: result = LOST
    :: lateChange[0] == 0 -> lateChange[0] = change; lateExpect[0] = expect; lateRevision[0] = revision; result = LOST
    :: lateChange[0] != 0 && lateChange[1] == 0 -> lateChange[1] = change; lateExpect[1] = expect; lateRevision[1] = revision; result = LOST
    :: down -> result = REFUSED
    fi
  }
}

inline reportGivenUp(refused) {
  atomic {
    open[change]--;
    if
    :: !refused -> unknown[change] = true
    :: refused && open[change] == 0 && !unknown[change] -> denied[change] = true
    :: else
    fi
  }
}

proctype Ask(byte me) {
  byte change = CHANGE(me);
  byte expect = 0;
  byte revision = 0;
  byte tries = 0;
  bool resend = false;
  bool uncertain = false;
  mtype result = 0;

  /* The declaration set is made against the revision in force; a repeated request keeps that revision. */
  atomic {
    if
    :: !hasBase[change] -> hasBase[change] = true; baseRevision[change] = headRevision
    :: else
    fi
  }

reading:
  if
  :: down -> goto giveUp
  :: atomic { !down ->
       if
#ifndef NO_CHANGE_ID
       :: inLog[change] != 0 -> goto accepted
       :: inLog[change] == 0 -> skip
#else
       :: true
#endif
       fi;
       if
#ifdef NO_EXPECTED
       :: true -> expect = headVersion; revision = headRevision + 1
#else
       :: headRevision == baseRevision[change] -> expect = headVersion; revision = headRevision + 1
       :: headRevision != baseRevision[change] -> goto conflict
#endif
       fi }
  fi;

writing:
  if
  :: tries == TRIES -> goto giveUp
  :: tries < TRIES -> tries++
  fi;
  write();
  if
  :: result == COMMITTED -> goto accepted
  :: result == CONFLICT -> resend = false; goto reading
  :: result == LOST ->
     uncertain = true;
#ifdef NO_RESEND
     /* Reads instead of sending the write again, and takes an absent row for a lost write. */
     if
     :: atomic { !down && inLog[change] != 0 -> goto accepted }
     :: atomic { !down && inLog[change] == 0 -> uncertain = false; goto giveUp }
     fi
#else
     resend = true; goto writing
#endif
  :: result == REFUSED && resend -> goto writing
  :: result == REFUSED && !resend -> goto giveUp
  fi;

accepted:
  atomic { assert(inLog[change] != 0); assert(!denied[change]); open[change]--; goto done }
conflict:
  atomic { denied[change] = true; assert(inLog[change] == 0); open[change]--; goto done }
giveUp:
#ifdef NO_UNCERTAIN
  reportGivenUp(true);
#else
  reportGivenUp(!uncertain);
#endif
done:
  atomic { expect = 0; revision = 0; tries = 0; resend = false; uncertain = false; result = 0 }
}

active proctype Network() {
  mtype ignored = 0;
end:
  do
  :: atomic { lateChange[0] != 0 -> apply(lateChange[0], lateExpect[0], lateRevision[0], ignored); ignored = 0; lateChange[0] = 0; lateExpect[0] = 0; lateRevision[0] = 0 }
  :: atomic { lateChange[1] != 0 -> apply(lateChange[1], lateExpect[1], lateRevision[1], ignored); ignored = 0; lateChange[1] = 0; lateExpect[1] = 0; lateRevision[1] = 0 }
  od
}

active proctype Store() {
  if
  :: down = true; down = false
  :: skip
  fi
}

active proctype Adopter() {
  byte adopted = 0;
  byte offered = 0;
end:
  do
  :: atomic {
       if
       :: offered = headRevision
       :: headRevision > 0 -> offered = headRevision - 1
       :: headRevision > 1 -> offered = headRevision - 2
       fi;
#ifdef NO_HIGHER_ONLY
       if
       :: true ->
#else
       if
       :: offered > adopted ->
#endif
          assert(offered >= adopted);
          adopted = offered
       :: else
       fi;
       offered = 0 }
  od
}

init {
  atomic {
    byte i = 1;
    do
    :: i <= ASKS -> open[CHANGE(i)]++; run Ask(i); i++
    :: i > ASKS -> break
    od;
    i = 0
  }
}
