/* Floor copies: the row that names the holders of one artifact, two planners that change it, three holders (src/core/floor.h).
 *
 * Planners read the row, change their minds, hear holders' reports late, and write by compare-and-set what they composed from what they
 * read some time ago (a paused planner is one that stays at that point). Holders hear of rows late and out of order, from the table or
 * from peers; load, unload with a delay, report; their agents restart without memory, their engines crash and are empty.
 *
 * With CRASHES 0, one copy wanted: a copy is always held. With CRASHES 1 and -DTWO, two copies wanted: the same.
 * Holders' sets are bit masks: 1, 2, 4.
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
byte names[VERSIONS + 1]; /* at each version */
bool begun = false;

/* Holders. */
bool resident[HOLDERS];
bool unloading[HOLDERS];
byte readVersion[HOLDERS];
bool settled[HOLDERS];
byte restarts = 0;
byte crashes = 0;

#define COPIES (resident[0] + resident[1] + resident[2])
#define NAMED(h) ((names[readVersion[h]] & BIT(h)) != 0)

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
#define ALL_CONFIRMED ((desired & names[based]) == desired)
#else
#define ALL_CONFIRMED ((desired & names[based] & confirmed) == desired)
#endif

#ifdef NO_ROW_CAS
#define UNCHANGED (true)
#else
#define UNCHANGED (based == version)
#endif

active [2] proctype Planner() {
  byte based = 0; /* the version read */
  byte confirmed = 0; /* by reports made at that version */
  byte desired = 0;
  byte h = 0;
  byte next = 0;
  begun;
end:
  do
  :: atomic { based != version ->
       based = version;
#ifndef NO_CONFIRM_VERSION
       confirmed = 0
#endif
     }
  /* Hears a report. */
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
  /* Wants some holders, whichever, and writes the next row. */
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
       :: else -> next = names[based] | desired
       fi;
       if
       :: UNCHANGED && next != names[based] ->
          version++; names[version] = next; based = version;
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
  byte heard = 0;
  begun;
end:
  do
  /* Reads the row itself. */
  :: atomic { !settled[me] -> readVersion[me] = version; settled[me] = true }
  /* Hears of some row from a peer. */
  :: atomic { version > 1 ->
       heard = 1;
       do
       :: heard < version -> heard++
       :: break
       od;
       if
#ifndef NO_NEWER_ROW
       :: heard > readVersion[me] -> readVersion[me] = heard
#else
       :: heard != readVersion[me] -> readVersion[me] = heard
#endif
       :: else
       fi;
#ifdef NO_RESTART_PIN
       settled[me] = true;
#endif
       heard = 0 }
  :: atomic { readVersion[me] != 0 && NAMED(me) && !resident[me] -> resident[me] = true }
  /* Drops what no row names: the order first, its effect later. */
  :: atomic { resident[me] && !unloading[me] && settled[me] && !NAMED(me) -> unloading[me] = true }
  :: atomic { unloading[me] -> unloading[me] = false; resident[me] = false; assert(COPIES > 0) }
  /* The agent restarts; an unload of its predecessor may still take effect, and until it can't any more, no copy is reported. */
  :: atomic { restarts < RESTARTS -> restarts++; readVersion[me] = 0; settled[me] = false }
  :: atomic { crashes < CRASHES && resident[me] -> crashes++; resident[me] = false; unloading[me] = false; assert(COPIES > 0) }
  od
}

init {
  atomic {
#ifdef TWO
    names[1] = 3; resident[0] = true; resident[1] = true;
#else
    names[1] = 1; resident[0] = true;
#endif
    readVersion[0] = 1; readVersion[1] = 1; readVersion[2] = 1;
    settled[0] = true; settled[1] = true; settled[2] = true;
    begun = true
  }
}
