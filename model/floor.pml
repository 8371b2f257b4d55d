/* Floor replicas: the row that names the holders of one artifact, two planners that change the row, and three holders (src/core/floor.h).
 *
 * Planners read the row, choose other holders at any time, receive holders' reports late, and write by compare-and-set a row that is based on
 * an earlier read (a paused planner is one that stays between the two). Holders receive rows late and out of order, from the table or from
 * peers; they load, unload with a delay, and report. Their agents restart without memory; an engine that crashes comes back empty.
 *
 * Checked: at least one replica is resident at any time, with one desired replica and CRASHES 0, and with two desired replicas (-DTWO) and CRASHES 1.
 * Sets of holders are bit masks: 1, 2, 4.
 *
 * Mutants: NO_ROW_CAS, NO_CONFIRM, NO_CONFIRM_VERSION, NO_NEWER_ROW, NO_RESTART_PIN, NO_UNLOADING_HIDDEN
 */
#ifndef VERSIONS
#define VERSIONS 6 /* of the row */
#endif
#ifndef CRASHES
#define CRASHES 0
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define HOLDERS 3
#define BIT(h) (1 << (h))

/* The row. */
byte version = 1;
byte rowHolders[VERSIONS + 1]; /* the holders that the row names, at each version */
bool isInitialized = false;

/* Holders. */
bool resident[HOLDERS];
bool unloading[HOLDERS];
byte readVersion[HOLDERS];
bool settled[HOLDERS];
byte restarts = 0;
byte crashes = 0;

#define COPIES (resident[0] + resident[1] + resident[2])
#define NAMED(h) ((rowHolders[readVersion[h]] & BIT(h)) != 0)

#ifdef NO_UNLOADING_HIDDEN
#define HELD(h) (resident[h])
#else
#define HELD(h) (resident[h] && !unloading[h])
#endif

#ifdef NO_CONFIRM_VERSION
#define FRESH(h) (true)
#else
#define FRESH(h) (readVersion[h] == based)
#endif
#ifdef NO_CONFIRM
#define ALL_CONFIRMED ((desired & rowHolders[based]) == desired)
#else
#define ALL_CONFIRMED ((desired & rowHolders[based] & confirmed) == desired)
#endif

#ifdef NO_ROW_CAS
#define UNCHANGED (true)
#else
#define UNCHANGED (based == version)
#endif

active [2] proctype Planner() {
  byte based = 0; /* the version read */
  byte confirmed = 0; /* holders whose reports confirm the artifact at that version */
  byte desired = 0;
  byte h = 0;
  byte next = 0;
  isInitialized;
end:
  do
  :: atomic { based != version ->
       based = version;
#ifndef NO_CONFIRM_VERSION
       confirmed = 0
#endif
     }
  /* Receives a report. */
  :: atomic { based != 0 ->
       if
       :: h = 0
       :: h = 1
       :: h = 2
       fi;
       if
       :: HELD(h) && FRESH(h) -> confirmed = confirmed | BIT(h)
       :: else -> confirmed = confirmed & (7 - BIT(h))
       fi;
       h = 0 }
  /* Chooses any holders and writes the next row. */
  :: atomic { based != 0 && version < VERSIONS ->
       if
#ifdef TWO
       :: desired = 3
       :: desired = 5
       :: desired = 6
#else
       :: desired = 1
       :: desired = 2
       :: desired = 4
#endif
       fi;
       if
       :: ALL_CONFIRMED -> next = desired
       :: else -> next = rowHolders[based] | desired
       fi;
       if
       :: UNCHANGED && next != rowHolders[based] ->
          version++; rowHolders[version] = next; based = version;
#ifndef NO_CONFIRM_VERSION
          confirmed = 0
#endif
       :: else
       fi;
       desired = 0; next = 0 }
  od
}

active [HOLDERS] proctype Holder() {
  byte me = _pid - 2;
  byte received = 0;
  isInitialized;
end:
  do
  /* Reads the row itself. */
  :: atomic { !settled[me] -> readVersion[me] = version; settled[me] = true }
  /* Receives any version of the row from a peer. */
  :: atomic { version > 1 ->
       received = 1;
       do
       :: received < version -> received++
       :: break
       od;
       if
#ifndef NO_NEWER_ROW
       :: received > readVersion[me] -> readVersion[me] = received
#else
       :: received != readVersion[me] -> readVersion[me] = received
#endif
       :: else
       fi;
#ifdef NO_RESTART_PIN
       settled[me] = true;
#endif
       received = 0 }
  :: atomic { readVersion[me] != 0 && NAMED(me) && !resident[me] -> resident[me] = true }
  /* Unloads an artifact that the row doesn't assign to it: first the order, then its effect. */
  :: atomic { resident[me] && !unloading[me] && settled[me] && !NAMED(me) -> unloading[me] = true }
  :: atomic { unloading[me] -> unloading[me] = false; resident[me] = false; assert(COPIES > 0) }
  /* The agent restarts. An unload ordered before the restart may still take effect; until it no longer can, the replica isn't reported. */
  :: atomic { restarts < RESTARTS -> restarts++; readVersion[me] = 0; settled[me] = false }
  :: atomic { crashes < CRASHES && resident[me] -> crashes++; resident[me] = false; unloading[me] = false; assert(COPIES > 0) }
  od
}

init {
  atomic {
#ifdef TWO
    rowHolders[1] = 3; resident[0] = true; resident[1] = true;
#else
    rowHolders[1] = 1; resident[0] = true;
#endif
    readVersion[0] = 1; readVersion[1] = 1; readVersion[2] = 1;
    settled[0] = true; settled[1] = true; settled[2] = true;
    isInitialized = true
  }
}
