/* Claims: two arrivals with one key, at two instances; a store with versions whose answers may be
 * lost after the write, and which may refuse. An instance may be paused between any two steps.
 * Holds: the key runs at most once, and an arrival that is answered not_run did not run.
 * Mutations: NO_VERSION (writes are not conditional), GUESS (a write of unknown outcome counts as done),
 * NO_READ (a writer does not read who holds the key).
 */
byte version = 0;
byte holder = 0;        /* the arrival whose claim the store holds; 0 is none */
byte runs = 0;
bool down = false;

active proctype Platform()
{
    byte turns = 0;
    do
    :: turns < 2 -> down = !down; turns++
    :: turns == 2 -> break
    od
}

proctype Arrival(byte me)
{
    byte seen, by, tries = 0;
    bool unknown = false;
again:
    if
    :: tries == 3 -> goto refuse
    :: else -> tries++
    fi;
    /* Read. */
    atomic {
        if
        :: down -> goto again
        :: else -> seen = version; by = holder
        fi
    }
#ifndef NO_READ
    if
    :: by == me -> goto go
    :: by != 0 -> goto refuse_other
    :: else
    fi;
#endif
    /* Write if the version is still the one that was read. */
    atomic {
        if
        :: down -> goto again
#ifdef NO_VERSION
        :: !down -> holder = me; version++; goto go
#else
        :: !down && version == seen ->
           holder = me; version++;
           if
           :: goto go
           :: unknown = true          /* the answer is lost */
           fi
        :: !down && version != seen -> goto again
#endif
        :: !down && version == seen -> unknown = true   /* lost before it took effect */
        fi
    }
#ifdef GUESS
    if
    :: unknown -> goto go
    :: else
    fi;
#endif
    goto again;
go:
    atomic { runs++; assert(runs <= 1) }
    goto end_run;
refuse_other:
refuse:
    skip;      /* not_run, or outcome_unknown if another holds the key; this arrival has not run */
end_run:
    skip
}

init { atomic { run Arrival(1); run Arrival(2) } }
