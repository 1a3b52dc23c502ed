/* The order of configurations: a store, two operators who race, two instances that learn versions
 * from the store and from each other, in any order and however late, and may restart.
 * Holds: an instance never goes back; what was accepted is in the store's history of versions once;
 * of two changes made for one version one is accepted.
 * Mutations: NO_CHECK (an instance installs any version that arrives), NO_VERSION (writes are not conditional),
 * SERVE_EMPTY (a restarted instance serves before it has queried its peer and the store).
 */
byte stored = 1;
byte writes = 0;
byte accepted = 0;       /* changes reported as accepted */
byte installed[2] = 1;
byte highest[2] = 1;     /* the highest that an instance has served with */
bool ready[2] = true;
chan news = [3] of { byte };    /* versions in transit, which may arrive late and out of order */

proctype Operator()
{
    byte seen;
    seen = stored;
    atomic {
        if
#ifdef NO_VERSION
        :: true -> stored = seen + 1; accepted++; writes++
#else
        :: stored == seen -> stored = seen + 1; accepted++; writes++
        :: stored != seen -> skip        /* reported as not accepted */
#endif
        fi;
        assert(stored == 1 + accepted)
    };
    if
    :: news!seen + 1
    :: skip
    fi
}

#define INSTALL(v) if \
    :: CHECK(v) -> installed[me] = v \
    :: else \
    fi; \
    assert(!ready[me] || installed[me] >= highest[me]); \
    if :: ready[me] && installed[me] > highest[me] -> highest[me] = installed[me] :: else fi

#ifdef NO_CHECK
#define CHECK(v) true
#else
#define CHECK(v) ((v) > installed[me])
#endif

proctype Instance(byte me)
{
    byte v;
    byte steps = 0;
    do
    :: steps < 4 -> v = stored; steps++;          /* reads, and is slow to install */
       atomic { INSTALL(v) }
    :: steps < 4 -> steps++; atomic { nempty(news) -> news??v; INSTALL(v) }
    :: steps < 4 -> v = installed[1 - me]; steps++;
       atomic { INSTALL(v) }
    :: atomic { steps < 4 -> steps++;             /* restarts with nothing */
#ifdef SERVE_EMPTY
       installed[me] = 0; assert(!ready[me] || installed[me] >= highest[me]) }
#else
       installed[me] = 0; ready[me] = false }
       /* Serves again once it has what its peer and the store have. */
       atomic { v = (installed[1 - me] > stored -> installed[1 - me] : stored);
           installed[me] = v; ready[me] = true; assert(v >= highest[me]); highest[me] = v }
#endif
    :: steps == 4 -> break
    od
}

init { atomic { run Operator(); run Operator(); run Instance(0); run Instance(1) } }
