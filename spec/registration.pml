/* Registration, grant, send and change of leader: one entry, one request, two leaders.
 *
 * Leaders may act at any later time, so a pause is any delay between two of their steps. The entry
 * changes its view of who leads up to CHANGES times; calls may fail after they were received.
 * Holds: the request is sent at most once, and no end state leaves it waiting.
 * Mutations: SEND_AGAIN (a grant is accepted in any stage), KEEP_OLD (a failed registration leaves
 * the previous one in force), LATE_REPLY (a leader accepts a reply to an order of an earlier
 * registration).
 */
#define CHANGES 2
#define NONE 0
#ifdef KEEP_OLD
#define UNREGISTERED (to != leader)
#else
#define UNREGISTERED (to != leader || with != epoch)
#endif

#define QUIET(l) (len(nudge[l]) == 0 && len(attach[l]) == 0 && len(grant) == 0 && len(reply[l]) == 0)

mtype = { WAITING, SENT };
mtype stage = WAITING;
byte runs = 0;
byte epoch = 0;              /* of the request, at the entry */
byte changes = 0;
byte nudges = 0;             /* bounded, so that a run without progress ends */
byte to = 2;                 /* the leader that the entry is registered with; 2 is none */
byte with = 0;               /* the epoch of that registration, as the entry sees it */
byte leader = 0;             /* the leader, as the entry sees it */
bool settled = false;

chan attach[2] = [4] of { byte };
chan nudge[2] = [1] of { byte };   /* the entry shows itself under an epoch */
chan refused = [2] of { byte };    /* a leader does not know the registration */
chan grant = [6] of { byte, byte };        /* leader, epoch */
chan reply[2] = [6] of { byte, bool };     /* epoch, taken */

active proctype Entry()
{
    byte e, l;
    bool lost;
    do
    :: atomic { !settled && stage == WAITING && changes < CHANGES ->
           changes++; leader = 1 - leader }
    :: atomic { !settled && changes == CHANGES -> settled = true }
    /* Registers with the leader it sees, if it is not registered there. */
    :: atomic { stage == WAITING && UNREGISTERED && epoch < (settled -> 9 : 3) && len(attach[leader]) < 4 ->
           epoch++;
#ifndef KEEP_OLD
           to = 2;
#endif
           if
           :: attach[leader]!epoch; to = leader; with = epoch
           :: !settled -> skip                              /* not reached */
           :: !settled -> attach[leader]!epoch              /* taken, but the answer is lost */
           fi }
    :: atomic { grant?l,e ->
           if
#ifdef SEND_AGAIN
           :: e == epoch -> runs++; stage = SENT; reply[l]!e,true
#else
           :: e == epoch && stage == WAITING -> runs++; stage = SENT; reply[l]!e,true
#endif
           :: else -> reply[l]!e,false
           fi;
           assert(runs <= 1) }
    /* Shows itself; a leader that does not know the epoch says so. */
    :: atomic { settled && stage == WAITING && to == leader && QUIET(leader) && nudges < 3 ->
           nudges++; nudge[leader]!with }
    :: atomic { refused?e -> if :: e == with -> to = 2 :: else fi }
    :: atomic { stage == SENT -> settled = true; break }
    od;
    /* Late grants are answered for ever after. */
endsent:
    do
    :: atomic { grant?l,e ->
#ifdef SEND_AGAIN
           if :: e == epoch -> runs++ :: else fi;
#endif
           assert(runs <= 1) }
    od
}

proctype Leader(byte me)
{
    byte known = NONE;   /* the registration */
    bool waits = false;  /* the request is in its queue */
    byte e;
    byte given = 0;
    bool taken;
endleader:
    do
    :: atomic { attach[me]?e ->
           if
           :: e > known -> known = e; waits = true
           :: else
           fi }
    :: atomic { waits && len(grant) < 6 -> grant!me,known;
           /* A leader that grants twice is a fault that the entry stands. */
           if :: waits = false :: !settled && given < 1 -> given++ fi }
    :: atomic { reply[me]?e,taken ->
#ifdef LATE_REPLY
           if :: !taken -> waits = false :: else fi }
#else
           if :: !taken && e == known -> waits = false :: else fi }
#endif
    :: atomic { nudge[me]?e -> if :: e != known && len(refused) < 2 -> refused!e :: else fi }
    :: atomic { known > 0 && !settled -> known = NONE; waits = false }   /* it dies and starts anew */
    od
}

init { atomic { run Leader(0); run Leader(1) } }
