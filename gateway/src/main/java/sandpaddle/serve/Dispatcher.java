package sandpaddle.serve;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.tinylog.Logger;
import sandpaddle.config.ListEvent;
import sandpaddle.config.Names;
import sandpaddle.decide.Gateway;
import sandpaddle.decide.Micros;
import sandpaddle.net.Scheduler;
import sandpaddle.query.Answer;
import sandpaddle.query.AttemptEnd;
import sandpaddle.query.AttemptOrder;
import sandpaddle.query.EngineSide;
import sandpaddle.query.Query;
import sandpaddle.query.QueryService;
import sandpaddle.storm.StormSettings;

/**
 * Joins frontends and engines through the decision module. What happens is gathered as the module's events;
 * {@link #handOn()} gives them to the module in one go, then carries out its actions in order.
 */
public final class Dispatcher implements QueryService {
    /** Guards the rule of one answer in time, should the module ever say nothing: well inside its slack. */
    private static final Duration OVERDUE = Duration.ofMillis(8);

    private static final int MOST_FAULTS = 8; // lines that one event may cost the log

    /** Times its class's limit: what a client may say that it will wait. */
    private static final long PATIENCE_MOST = 2;

    private final Scheduler loop;
    private final Gateway module;
    private final Gateway.Settings settings;
    private final Names names;
    private final EngineSide engines;
    private final Door door;
    private SharedRuns shared; // null until runs are known by name for the first time
    private boolean namesRuns;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final Set<String> traces = new HashSet<>();
    private final List<Exchange> left = new ArrayList<>();
    private List<Gateway.Event> events = new ArrayList<>();
    private boolean listSeen;
    private long serial;

    /** {@code seed}: for what is drawn at random beside the module's own decisions. */
    public Dispatcher(Scheduler loop, Gateway module, Gateway.Settings settings, Names names, EngineSide engines,
            long seed) {
        this.loop = loop;
        this.module = module;
        this.settings = settings;
        this.names = names;
        this.engines = engines;
        door = new Door(loop, settings, seed);
    }

    /** Takes the operator's settings over. Runs known by name stay known, also while the fields are not in use. */
    public void storm(StormSettings next) {
        door.settings(next);
        namesRuns = next.loads().enabled();
        if (shared != null) {
            shared.settings(next.loads());
        } else if (namesRuns) {
            shared = new SharedRuns(loop, next.loads());
        }
    }

    // ---- What happens.

    /** A change of the engine list; it counts as told from here on. */
    public void listed(ListEvent change) {
        change.faults().stream().limit(MOST_FAULTS)
                .forEach(f -> Logger.warn("engine list, event {}: {}", change.number(), f));
        List<Gateway.EngineEntry> entries = new ArrayList<>();
        for (ListEvent.Host h : change.hosts()) {
            Gateway.Status status = h.entry().status();
            engines.listed(h.entry().id(), h.address(), Micros.instant(h.entry().startedUs()),
                    status == Gateway.Status.UP, status == Gateway.Status.GONE);
            entries.add(h.entry());
        }
        Gateway.ListKind kind = !change.whole() ? Gateway.ListKind.CHANGES
                : listSeen ? Gateway.ListKind.FULL : Gateway.ListKind.CACHED;
        listSeen |= change.whole();
        if (change.whole()) {
            engines.keepOnly(entries.stream().map(Gateway.EngineEntry::id).collect(Collectors.toSet()));
        }
        Gateway.EngineList list = new Gateway.EngineList(kind, entries);
        door.listed(list);
        tell(list);
    }

    @Override
    public boolean isReady() {
        return listSeen;
    }

    @Override
    public Optional<Duration> turnsAwayConnection() {
        return door.turnsAwayConnection();
    }

    @Override
    public Duration pauseWithoutRoom() {
        return door.pauseWithoutRoom();
    }

    @Override
    public Ticket submit(Query query, Consumer<Answer> answer) {
        int cls = names.routes().indexOf(query.route());
        if (cls < 0) {
            answer.accept(new Answer.Invalid("unknown route '" + query.route() + "'"));
            return () -> { };
        }
        if (query.patience().compareTo(Micros.span(PATIENCE_MOST * settings.classes().get(cls).limitUs())) > 0) {
            answer.accept(new Answer.Invalid("a patience of " + query.patience().toMillis() + " ms is out of range"));
            return () -> { };
        }
        boolean named = !query.once().isEmpty() && settings.classes().get(cls).effect() == Gateway.Effect.UNSAFE;
        if (named && !namesRuns) { // to run what must not run twice as if it had no name would be a guess
            answer.accept(new Answer.Invalid("field 'once' is not in use here"));
            return () -> { };
        }
        if (named) {
            Duration limit = Micros.span(settings.classes().get(cls).limitUs());
            return shared.submit(query, door.fingerprint(query, cls), limit, answer, (q, end) -> take(q, cls, end));
        }
        return take(query, cls, answer);
    }

    private Ticket take(Query query, int cls, Consumer<Answer> answer) {
        if (exchanges.size() >= settings.limits().maxHeld()) {
            answer.accept(new Answer.Refused(door.pauseWithoutRoom()));
            return () -> { };
        }
        if (!traces.add(query.trace())) { // an engine knows a query by its trace alone
            answer.accept(new Answer.Invalid("trace " + query.trace() + " is that of an open query"));
            return () -> { };
        }
        String id = query.trace() + "-" + serial++;
        Exchange x = new Exchange(id, query, cls, loop.now(), answer);
        x.arrival = door.arrived(query, cls);
        exchanges.put(x.id, x);
        QueryLog.taken(x);
        x.overdue = loop.at(x.expiresAt.plus(OVERDUE), () -> overdue(x));
        tell(new Gateway.Request(x.id, cls, null, Micros.of(query.patience()), Micros.of(query.work()),
                query.memoryMb(), query.tableGroup(), x.arrival != null && x.arrival.isReturn(),
                x.arrival != null && x.arrival.yields()));
        return () -> leave(x);
    }

    private void leave(Exchange x) {
        if (!x.isOver()) {
            door.left(x);
            QueryLog.left(x);
            x.close();
            left.add(x);
            tell(new Gateway.ClientLeft(x.id));
        }
    }

    private void overdue(Exchange x) {
        QueryLog.overdue(x);
        finish(x, given(x, Duration.ZERO));
        left.add(x);
        tell(new Gateway.ClientLeft(x.id));
    }

    /** Every final answer goes through here. */
    private void finish(Exchange x, Answer answer) {
        if (!x.isOver()) {
            Answer told = door.ended(x, answer);
            QueryLog.answered(x, told, loop.now());
            x.answer(told);
        }
    }

    /** The final answer to what nobody goes on with: a refusal only where that is harmless. */
    private Answer given(Exchange x, Duration pause) {
        boolean safe = settings.classes().get(x.cls).effect() == Gateway.Effect.SAFE;
        return safe || !x.mayHaveRun && x.out == null ? new Answer.Refused(pause) : new Answer.Failed("given up");
    }

    /** Gives every open query its final answer now: the process is about to end. */
    public void endAll() {
        for (Exchange x : List.copyOf(exchanges.values())) {
            if (!x.isOver()) {
                finish(x, given(x, Duration.ZERO));
                left.add(x);
                tell(new Gateway.ClientLeft(x.id));
            }
        }
    }

    public boolean isIdle() {
        return exchanges.isEmpty();
    }

    private void tell(Gateway.Event event) {
        events.add(event);
        loop.again();
    }

    // ---- What the module makes of it.

    /** Called at the end of each turn. */
    public void handOn() {
        if (events.isEmpty()) {
            return;
        }
        List<Gateway.Event> batch = events;
        events = new ArrayList<>();
        List<Gateway.Action> actions = new ArrayList<>();
        long now = Micros.of(loop.now());
        for (Gateway.Event e : batch) {
            try {
                module.on(now, e, actions::add);
            } catch (RuntimeException fault) {
                Logger.error(fault, "the module failed on {}", e);
                if (e instanceof Gateway.Request r) {
                    answer(r.id(), new Answer.Failed("internal error"));
                }
            }
        }
        actions.forEach(this::carryOut);
        List<Exchange> gone = List.copyOf(left);
        left.clear();
        gone.forEach(x -> {
            if (x.out != null) {
                x.out.cancel(true);
            }
            tidy(x);
        });
    }

    private void carryOut(Gateway.Action action) {
        if (action instanceof Gateway.Send a) {
            send(a);
        } else if (action instanceof Gateway.SetTerms a) {
            terms(a);
        } else if (action instanceof Gateway.Refuse a) {
            answer(a.id(), new Answer.Refused(Micros.span(a.retryAfterUs())));
        } else if (action instanceof Gateway.Fail a) {
            answer(a.id(), new Answer.Failed("no answer in time"));
        } else if (action instanceof Gateway.Cancel a) {
            Exchange x = exchanges.get(a.id());
            if (x != null && x.out != null && x.attempts - 1 == a.attempt()) {
                x.out.cancel(x.isOver());
            }
        } else if (action instanceof Gateway.Probe a) {
            probe(a.engine());
        } else if (action instanceof Gateway.SetTimer a) {
            loop.at(Micros.instant(a.atUs()), () -> tell(new Gateway.Timer(a.token())));
        } else if (action instanceof Gateway.Log a) {
            Logger.info(a.text());
        } // the list comes without being asked for
    }

    private void answer(String id, Answer answer) {
        Exchange x = exchanges.get(id);
        if (x != null) {
            finish(x, answer);
            tidy(x);
        }
    }

    private void terms(Gateway.SetTerms a) {
        Exchange x = exchanges.get(a.id());
        if (x != null) {
            if (x.out != null && x.priority != a.priority()) {
                x.out.priority(a.priority());
            }
            x.priority = a.priority();
            x.memoryMb = a.memoryMb();
        }
    }

    /** Guards against a send for a request that ended in the turn in which the module decided on it. */
    private void send(Gateway.Send a) {
        Exchange x = exchanges.get(a.id());
        if (x == null) {
            return;
        }
        int number = x.attempts++;
        Instant now = loop.now();
        if (x.isOver() || x.out != null || number >= settings.limits().maxAttempts() || !now.isBefore(x.expiresAt)
                || !engines.isUp(a.engine())) {
            outcome(x, number, a.engine(), Gateway.Result.MOOT, Duration.ZERO, null);
            return;
        }
        Instant until = a.timeoutUs() == 0 ? x.expiresAt : now.plus(Micros.span(a.timeoutUs()));
        boolean last = !until.isBefore(x.expiresAt);
        AttemptOrder order = new AttemptOrder(x.query.trace(), x.query.route(), x.query.statement(), x.memoryMb,
                x.priority, last ? x.expiresAt : until, last, a.trial());
        door.sent(x);
        QueryLog.sent(x, number, a.engine());
        boolean[] ended = new boolean[1];
        EngineSide.Running begun = engines.start(a.engine(), order, new EngineSide.Listener() {
            @Override
            public void note(String topic, double value) {
                Gateway.Topic t = Ends.topic(topic);
                if (t != null) {
                    tell(new Gateway.Note(x.id, number, t, value));
                }
            }

            @Override
            public void outOfReach() {
                QueryLog.outOfReach(x, number, a.engine());
                tell(new Gateway.ProbeResult(a.engine(), Gateway.Result.CONNECT_FAILED, 0, null));
            }

            @Override
            public void ended(AttemptEnd end) {
                ended[0] = true;
                x.out = null;
                Dispatcher.this.ended(x, number, a.engine(), end, Duration.between(now, loop.now()));
            }
        });
        x.out = ended[0] ? null : begun;
    }

    private void ended(Exchange x, int number, String engine, AttemptEnd end, Duration elapsed) {
        QueryLog.ended(x, number, engine, end, elapsed);
        if (end instanceof AttemptEnd.Done d) {
            finish(x, new Answer.Served(d.rows()));
        }
        Gateway.Result result = Ends.result(end);
        x.mayHaveRun |= !result.neverRan();
        door.attempted(engine, result);
        outcome(x, number, engine, result, elapsed, Ends.stats(end));
        tidy(x);
    }

    private void outcome(Exchange x, int number, String engine, Gateway.Result result, Duration elapsed, String stats) {
        tell(new Gateway.Outcome(x.id, number, engine, result, x.isOver(), Micros.of(elapsed), 0, 0,
                Stats.read(stats, names.reportFields())));
    }

    private void probe(String engine) {
        if (!engines.isUp(engine)) {
            tell(new Gateway.ProbeResult(engine, Gateway.Result.MOOT, 0, null));
            return;
        }
        Instant from = loop.now();
        engines.probe(engine, end -> tell(new Gateway.ProbeResult(engine, Ends.result(end.kind()),
                Micros.of(Duration.between(from, loop.now())), Stats.read(end.stats(), names.reportFields()))));
    }

    /** Forgets a query that is over with nothing out. */
    private void tidy(Exchange x) {
        if (x.isOver() && x.out == null && exchanges.remove(x.id) != null) {
            traces.remove(x.query.trace());
        }
    }
}
