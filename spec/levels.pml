/* The order of tiers in shedding: two entries, one leader, three tiers (0 is the highest).
 *
 * Time is counted in ticks; a message takes any time, and so does any step of a process that is
 * paused. A level is held for HOLD1 or HOLD2 ticks, acted on for STEP ticks, and a leader counts
 * confirmations for CONFIRM ticks after its request.
 * Holds: when a request of tier r is refused for load, no entry keeps one of a lower tier.
 * Mutations: NO_STEP (an entry acts on a level however old), LATE_CONFIRM (a leader counts late
 * confirmations), SKIP_LEVEL (the second level needs no first), SHORT_HOLD (the first level is held
 * no longer than it is acted on), NO_ASK (a leader sheds without requesting the level), IGNORE_KEPT (an entry
 * confirms while it keeps a lower tier).
 */
#define STEP 1
#define CONFIRM 1
#define HOLD2 3          /* longer than CONFIRM + STEP */
#ifdef SHORT_HOLD
#define HOLD1 1
#else
#define HOLD1 5          /* CONFIRM + STEP + HOLD2 */
#endif
#define END 7

byte now = 0;
byte kept[6];            /* kept[entry * 3 + tier], at most one of each */
byte since[4];           /* since[entry * 2 + level - 1], plus one; 0 is not held */
byte confirmed = 0;
byte confirmed_at = 0;
byte asked_at = 0;
byte asked = 0;
bool answer[2];

#ifdef LATE_CONFIRM
#define COUNTS true
#else
#define COUNTS (now <= asked_at + CONFIRM)
#endif
#define KEPT(e,t) kept[(e) * 3 + (t)]
#define SINCE(e,l) since[(e) * 2 + (l) - 1]
#define HOLDS(e,l) (SINCE(e,l) > 0 && now < SINCE(e,l) - 1 + (l == 1 -> HOLD1 : HOLD2))
#ifdef NO_STEP
#define ACTS(e,l) (SINCE(e,l) > 0)
#else
#define ACTS(e,l) (SINCE(e,l) > 0 && now <= SINCE(e,l) - 1 + STEP)
#endif
#define LOWER1 (KEPT(0,2) + KEPT(1,2))
#define LOWER0 (LOWER1 + KEPT(0,1) + KEPT(1,1))

active proctype Clock()
{
    do
    :: atomic { now < END -> now++ }
    :: now == END -> break
    od
}

proctype Entry(byte me)
{
    do
    :: now >= END -> break
    /* Arrivals; what a held level clears is refused at once. */
    :: atomic { KEPT(me,2) == 0 ->
           if
           :: HOLDS(me,1) || HOLDS(me,2) -> skip       /* the lowest may always be refused */
           :: else -> KEPT(me,2) = 1
           fi }
    :: atomic { KEPT(me,1) == 0 ->
           if
           :: HOLDS(me,2) -> assert(LOWER1 == 0)
           :: else -> KEPT(me,1) = 1
           fi }
    :: atomic { KEPT(me,0) == 0 -> KEPT(me,0) = 1 }
    /* Granted, expired or shed as the lowest tier: gone. */
    :: atomic { KEPT(me,2) == 1 -> KEPT(me,2) = 0 }
    :: atomic { KEPT(me,1) == 1 -> KEPT(me,1) = 0 }
    /* A leader's question. */
    :: atomic { asked == 1 && !answer[me] ->
           if
#ifdef IGNORE_KEPT
           :: SINCE(me,1) = now + 1; answer[me] = true
#else
           :: KEPT(me,2) == 0 -> SINCE(me,1) = now + 1; answer[me] = true
#endif
           :: skip
           fi }
    :: atomic { asked == 2 && !answer[me] ->
           if
#ifdef SKIP_LEVEL
           :: KEPT(me,2) + KEPT(me,1) == 0 -> SINCE(me,2) = now + 1; answer[me] = true
#else
           :: ACTS(me,1) && KEPT(me,2) + KEPT(me,1) == 0 ->
              SINCE(me,2) = now + 1; answer[me] = true
#endif
           :: skip
           fi }
    od
}

active proctype Leader()
{
    byte e;
    do
    :: now >= END -> break
    :: atomic { asked == 0 -> asked = 1; asked_at = now; answer[0] = false; answer[1] = false }
#ifdef SKIP_LEVEL
    :: atomic { asked == 0 -> asked = 2; asked_at = now; answer[0] = false; answer[1] = false }
#endif
    :: atomic { asked > 0 && answer[0] && answer[1] && COUNTS && confirmed < asked ->
           confirmed = asked; confirmed_at = asked_at }
    :: atomic { confirmed == 1 && asked == 1 ->
           asked = 2; asked_at = now; answer[0] = false; answer[1] = false }
    :: atomic { asked > 0 && now > asked_at + CONFIRM -> asked = 0; confirmed = 0 }
    /* Sheds the middle tier; the entry looks at its own level last. */
#ifdef NO_ASK
    :: atomic { KEPT(0,1) == 1 && KEPT(0,2) == 0 -> KEPT(0,1) = 0; assert(LOWER1 == 0) }
#endif
    :: confirmed >= 1 ->
       e = 0;
       atomic { KEPT(e,1) == 1 && ACTS(e,1) -> KEPT(e,1) = 0; assert(LOWER1 == 0) }
    :: confirmed >= 2 ->
       e = 1;
       atomic { KEPT(e,0) == 1 && ACTS(e,2) -> KEPT(e,0) = 0; assert(LOWER0 == 0) }
    od
}

init { atomic { run Entry(0); run Entry(1) } }
