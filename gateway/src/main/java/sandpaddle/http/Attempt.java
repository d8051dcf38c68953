package sandpaddle.http;

import java.time.Duration;
import java.time.Instant;
import sandpaddle.log.LogEvent;
import sandpaddle.net.Loop;
import sandpaddle.net.Timers;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.AttemptOrder;
import sandpaddle.query.EngineSide;

/**
 * The life of one attempt: POST, long polls until its end, the further pages. It ends when its end is read, or
 * when the DELETE that gives it up was written whole; the listener hears of the end once.
 */
final class Attempt implements EngineSide.Running {
    static final String STATS = "x-stats";
    /** An engine answers a poll after 250 ms, and gives up a query not asked for in 2 s. */
    static final Duration SILENT = Duration.ofMillis(600);
    private static final Duration HELD_LEAST = Duration.ofMillis(50);
    private static final Duration AGAIN = Duration.ofMillis(100); // between tries to reach a silent engine
    /** An engine drops a query 2 s after it was asked for last; it may have held that call for 250 ms. */
    private static final Duration DROPPED = Duration.ofMillis(2300);
    private static final int MOST_BREAKS = 3; // connections broken one after the other, with no answer between
    private static final int MOST_SPOILT = 6; // answers of one query that could not be read

    private enum Phase { CONNECTING, OUT, GIVING_UP, OVER }

    private final Loop loop;
    private final Engines engines;
    private final String engine;
    private final EnginePool pool;
    private final AttemptOrder order;
    private final EngineSide.Listener listener;
    private final Pages pages = new Pages();
    private final Timers.Timer timeout;
    private Phase phase = Phase.CONNECTING;
    private EngineConnection connection; // the one that a call is out on
    private EngineConnection kept; // the one that the last answer came on, until the next call
    private int breaks, spoilt;
    private boolean everSent; // a byte of the POST may have left
    private boolean taken; // the engine has said that it knows the query
    private boolean asksAgain; // a call's answer got lost
    private boolean brokeOff; // the latest call or its connection was ended by the other side
    private boolean outOfReach; // the listener has been told
    private String stats;
    private String lastNews; // topic and value of the news before
    private Instant reachedAt; // when the engine was last reached
    private Instant askedAt; // when the call that is out began

    Attempt(Loop loop, Engines engines, String engine, AttemptOrder order, EngineSide.Listener listener) {
        this.loop = loop;
        this.engines = engines;
        this.engine = engine;
        this.order = order;
        this.listener = listener;
        pool = engines.pool(engine);
        timeout = loop.at(order.until(), () -> giveUp(new AttemptEnd.TimedOut(), false));
        EnginePool.Waiter first = new EnginePool.Waiter() {
            @Override
            public void up(EngineConnection c) {
                post(c);
            }

            @Override
            public void down(EnginePool.Down how, String why) {
                if (phase == Phase.CONNECTING) {
                    end(how.tellsOfEngine() ? new AttemptEnd.NotConnected(why) : new AttemptEnd.NotSent(why));
                }
            }
        };
        if (order.isTrial()) {
            pool.renew(first);
        } else {
            pool.acquire(first);
        }
    }

    /** Guards against what has become so while the connection came up. */
    private void post(EngineConnection c) {
        boolean wanted = phase == Phase.CONNECTING && order.wanted().getAsBoolean(); // it may be withdrawn by this
        if (phase != Phase.CONNECTING) {
            pool.release(c);
        } else if (!wanted || !engines.isUp(engine) || !loop.now().isBefore(order.latest())) {
            pool.release(c);
            end(new AttemptEnd.NotSent(!wanted ? "its client has left" : !engines.isUp(engine) ? "the engine drains"
                    : "too late to be sent"));
        } else {
            phase = Phase.OUT;
            Duration left = Duration.between(loop.now(), order.until());
            if (LogEvent.isDebugOn()) {
                line("written", 0).with("new", String.valueOf(!c.wasUsed())).debug();
            }
            call(c, Requests.start(pool.host(), order, left), 0);
        }
    }

    private void call(EngineConnection c, byte[] request, int page) {
        connection = c;
        askedAt = loop.now();
        boolean firstOfConnection = !c.wasUsed();
        reachedAt = reachedAt == null ? loop.now() : reachedAt;
        c.call(request, SILENT, new EngineConnection.Call() {
            @Override
            public void answered(Response r, EngineConnection same) {
                connection = null;
                kept = same;
                outOfReach = false;
                if (phase == Phase.OUT) {
                    heard(r, page, firstOfConnection);
                }
                if (phase != Phase.OUT) {
                    release();
                }
            }

            @Override
            public void failed(EngineConnection.Failure how, String why, boolean maybeSent) {
                connection = null;
                if (LogEvent.isDebugOn()) {
                    line("no answer", page).with("how", how.name()).with("why", why)
                            .with("maybe_sent", String.valueOf(maybeSent)).debug();
                }
                if (firstOfConnection) { // a machine that is cut off lets none come up
                    reachedAt = askedAt;
                }
                if (phase == Phase.OUT) {
                    broke(how, why, maybeSent, page);
                }
            }
        });
    }

    /**
     * Guards against answers that got lost with their connection, or with an engine that stands still: the query
     * is bound to no connection, so it is asked for on another one. Only what was never written never ran.
     */
    private void broke(EngineConnection.Failure how, String why, boolean maybeSent, int page) {
        brokeOff = how == EngineConnection.Failure.BROKEN;
        if (!maybeSent && !everSent) {
            end(new AttemptEnd.NotConnected(why));
        } else if (how == EngineConnection.Failure.MALFORMED) {
            taken |= !everSent; // an answer to the POST: it has been read
            spoilt(why, page);
        } else if (how == EngineConnection.Failure.BROKEN && ++breaks > MOST_BREAKS) {
            giveUp(new AttemptEnd.Broken(why), false);
        } else {
            everSent = true;
            asksAgain = true;
            askAgain(page);
        }
    }

    /**
     * Guards against answers that cannot be read: the query has run and its engine keeps the result, so it is
     * asked for once more, on another connection. To ask is not to run it again.
     */
    private void spoilt(String why, int page) {
        everSent = true;
        asksAgain = true;
        if (++spoilt > MOST_SPOILT) {
            giveUp(new AttemptEnd.Errored(why, stats), false);
            return;
        }
        dropKept(); // what else it brings is not to be trusted
        askAgain(page);
    }

    private void release() {
        if (kept != null) {
            pool.release(kept);
            kept = null;
        }
    }

    private void askAgain(int page) {
        pool.connect(new Asker(page));
    }

    /** Who waits for a connection to ask on. */
    private final class Asker implements EnginePool.Waiter {
        private final int page;

        Asker(int page) {
            this.page = page;
        }

        @Override
        public void up(EngineConnection c) {
            asked(c, page);
        }

        @Override
        public void down(EnginePool.Down how, String why) {
            if (phase == Phase.OUT) {
                laterAgain(page, how, why);
            }
        }
    }

    /** Asks once more a little later, unless the engine has died or has dropped the query by now. */
    private void laterAgain(int page, EnginePool.Down how, String why) {
        boolean died = how == EnginePool.Down.REFUSED && brokeOff; // else it may be short of connections
        boolean dropped = reachedAt.plus(DROPPED).isBefore(loop.now());
        if (died || dropped) {
            end(new AttemptEnd.Broken(why));
            return;
        }
        tellOutOfReach(how);
        loop.after(AGAIN, () -> {
            if (phase == Phase.OUT && !how.tellsOfEngine()) {
                pool.acquire(new Asker(page)); // one that is idle serves as well
            } else if (phase == Phase.OUT) {
                askAgain(page);
            }
        });
    }

    /** Long before the attempt may end: nobody else needs to try this engine meanwhile. */
    private void tellOutOfReach(EnginePool.Down how) {
        if (how.tellsOfEngine() && !outOfReach) {
            outOfReach = true;
            listener.outOfReach();
        }
    }

    private void asked(EngineConnection c, int page) {
        if (phase == Phase.OUT) {
            call(c, Requests.ask(pool.host(), order.trace(), page), page);
        } else {
            pool.release(c);
        }
    }

    private LogEvent line(String step, int page) {
        return LogEvent.of(step).trace(order.trace()).with("engine", engine)
                .with("call", everSent ? "GET " + page : "POST").with("taken", String.valueOf(taken));
    }

    /** What the answer proves is {@link Verdict}'s to say. */
    private void heard(Response r, int page, boolean firstOfConnection) {
        Verdict verdict = Verdict.of(r, new Verdict.Asked(!everSent, page, firstOfConnection, taken, asksAgain));
        if (LogEvent.isDebugOn()) {
            line("answered", page).with("status", r.status()).with("new", String.valueOf(firstOfConnection))
                    .with("verdict", verdict.name()).debug();
        }
        everSent = true;
        stats = r.header(STATS) != null ? r.header(STATS) : stats;
        if (verdict != Verdict.TABLE_FULL) { // nobody has looked at the query
            breaks = 0;
            reachedAt = loop.now();
        }
        taken |= verdict == Verdict.RESULT || verdict == Verdict.NEWS;
        switch (verdict) {
            case RESULT -> page(r, page);
            case NEWS -> {
                doubtCopy(r, firstOfConnection);
                note(r);
                pace(r.header("x-result") != null);
            }
            case DECLINED -> declined(new AttemptEnd.Declined(stats));
            case LAPSED -> declined(new AttemptEnd.Lapsed(stats));
            case TABLE_FULL -> {
                dropKept();
                asksAgain = true;
                laterAgain(page, EnginePool.Down.NO_ROOM, "its connections are all taken");
            }
            case FAILED -> end(new AttemptEnd.Errored("status " + r.status(), stats));
            case UNCERTAIN -> giveUp(new AttemptEnd.Errored("status " + r.status(), stats), false);
            default -> spoilt("status " + r.status(), page);
        }
    }

    /**
     * Guards another query against rows that are not its own: news that came at once and say what the last ones said
     * may be a copy of those, and the answer to this call still on its way. This query may read it; no other one will.
     */
    private void doubtCopy(Response r, boolean firstOfConnection) {
        String news = r.header("x-result") + " " + r.header("note-value");
        boolean atOnce = !askedAt.plus(HELD_LEAST).isBefore(loop.now());
        if (kept != null && !firstOfConnection && atOnce && news.equals(lastNews)) {
            kept.doubt();
        }
        lastNews = news;
    }

    /** Its connection is not used again: a late copy of this answer must not be read as the answer to another POST. */
    private void declined(AttemptEnd how) {
        dropKept();
        end(how);
    }

    private void dropKept() {
        if (kept != null) {
            kept.abandon();
            kept = null;
        }
    }

    /** Guards the one core against an engine that does not hold its answers: it is asked again a little later. */
    private void pace(boolean noted) {
        if (noted || askedAt.plus(HELD_LEAST).isBefore(loop.now())) {
            ask(0);
        } else {
            loop.after(HELD_LEAST, () -> {
                if (phase == Phase.OUT) {
                    ask(0);
                }
            });
        }
    }

    private void note(Response r) {
        String topic = r.header("x-result");
        String value = r.header("note-value");
        if (topic != null && value != null) {
            try {
                listener.note(topic, Double.parseDouble(value));
            } catch (NumberFormatException e) {
                // a note that cannot be read is no note
            }
        }
    }

    /** Only a result whose pages are all in, numbered as asked for and made of whole rows, is an answer. */
    private void page(Response r, int page) {
        if (!pages.take(r, page)) {
            spoilt("malformed page " + page, page);
        } else if (pages.isWhole()) {
            end(new AttemptEnd.Done(pages.rows(), stats));
        } else {
            ask(pages.next());
        }
    }

    private void ask(int page) {
        EngineConnection same = kept;
        kept = null;
        if (same != null && !same.isStale()) {
            asked(same, page);
            return;
        }
        brokeOff = same != null;
        if (brokeOff) {
            same.abandon();
        }
        pool.acquire(new EnginePool.Waiter() {
            @Override
            public void up(EngineConnection c) {
                asked(c, page);
            }

            @Override
            public void down(EnginePool.Down how, String why) {
                if (phase == Phase.OUT) {
                    askAgain(page);
                }
            }
        });
    }

    @Override
    public void cancel(boolean requestOver) {
        giveUp(new AttemptEnd.Cancelled(), requestOver);
    }

    /** The request may have no other attempt out: the end is told only once the DELETE was written whole. */
    private void giveUp(AttemptEnd as, boolean atOnce) {
        if (phase == Phase.CONNECTING) {
            end(new AttemptEnd.NotSent("given up before a connection came up"));
            return;
        }
        if (phase != Phase.OUT) {
            return;
        }
        phase = Phase.GIVING_UP;
        timeout.cancel();
        if (connection != null) {
            connection.abandon();
            connection = null;
        }
        release();
        SideCall.make(loop, engines, pool, Requests.delete(pool.host(), order.trace()), askedAt.plus(DROPPED),
                () -> end(as));
        if (atOnce || order.isLast() && as instanceof AttemptEnd.TimedOut) {
            end(as);
        }
    }

    @Override
    public void priority(int priority) {
        if (phase == Phase.OUT) {
            SideCall.make(loop, engines, pool, Requests.priority(pool.host(), order.trace(), priority),
                    loop.now().plus(DROPPED), () -> { });
        }
    }

    private void end(AttemptEnd how) {
        if (phase != Phase.OVER) {
            phase = Phase.OVER;
            timeout.cancel();
            release();
            listener.ended(how);
        }
    }
}
