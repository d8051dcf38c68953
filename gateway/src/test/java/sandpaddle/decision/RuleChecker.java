package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.fail;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.FailRequest;
import sandpaddle.decision.action.RejectRequest;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.ClientDisconnected;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.decision.settings.DeduplicationScope;
import sandpaddle.decision.settings.Idempotency;
import sandpaddle.decision.settings.RequestClass;

/** Watches the events and actions of one gateway and fails the test when one of the seven rules breaks. */
final class RuleChecker {
    private static final class Taken {
        RequestReceived request;
        long takenAt;
        long seq;
        int attempts;
        boolean out;
        boolean over;
        boolean settled;
        EngineEntry ranOn;
        long ranAt;
        long sentAt;
        String sentTo;
    }

    private final DecisionSettings s;
    private final Map<String, Taken> requests = new LinkedHashMap<>();
    private final Map<String, EngineEntry> entries = new HashMap<>();
    private final Map<String, Long> stoppedAt = new HashMap<>();
    private final Map<String, Long> keyRest = new HashMap<>();
    private final List<Long> takenAt = new ArrayList<>();
    private final List<Long> furtherAt = new ArrayList<>();
    private final Map<String, List<double[]>> coldWork = new HashMap<>();
    private final double[] usualWork;
    private final double capacityPerCore;

    /** {@code capacityPerCore} is in us of work per us; infinite where a test has no engine that warms up. */
    RuleChecker(DecisionSettings s, double[] usualWork, double capacityPerCore) {
        this.s = s;
        this.usualWork = usualWork;
        this.capacityPerCore = capacityPerCore;
    }

    void event(long now, Event event) {
        if (event instanceof RequestReceived r && !requests.containsKey(r.id())) {
            Taken t = new Taken();
            t.request = r;
            t.takenAt = now;
            t.seq = requests.size();
            requests.put(r.id(), t);
            takenAt.add(now);
        } else if (event instanceof AttemptEnded o) {
            outcome(now, o);
        } else if (event instanceof ClientDisconnected l && requests.containsKey(l.id())) {
            requests.get(l.id()).over = true;
        } else if (event instanceof EngineListReceived l && l.kind() != EngineListKind.FAILED) {
            list(now, l);
        }
    }

    private void outcome(long now, AttemptEnded o) {
        Taken t = requests.get(o.id());
        if (t == null || !t.out || t.attempts - 1 != o.attempt()) {
            return;
        }
        t.out = false;
        if (!o.result().neverRan() && t.ranOn == null) {
            t.ranOn = entries.get(t.sentTo);
            t.ranAt = t.sentAt;
        }
        if (o.settled()) {
            t.over = true;
        }
        if (ordered(t)
                && Set.of(AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)
                        .contains(o.result())) {
            keyRest.put(t.request.key(), now + s.rules().orderingPauseUs());
        }
    }

    private void list(long now, EngineListReceived l) {
        Set<String> named = new HashSet<>();
        for (EngineEntry e : l.entries()) {
            named.add(e.id());
            entries.put(e.id(), e);
            if (e.status() == EngineStatus.UP) {
                stoppedAt.remove(e.id());
            } else {
                stoppedAt.putIfAbsent(e.id(), now);
            }
        }
        if (l.kind() != EngineListKind.CHANGES) {
            entries.keySet().stream().filter(id -> !named.contains(id)).forEach(id -> stoppedAt.putIfAbsent(id, now));
        }
    }

    private RequestClass cls(Taken t) {
        return s.classes().get(t.request.classIndex());
    }

    private boolean ordered(Taken t) {
        return cls(t).ordered() && t.request.key() != null;
    }

    void action(long now, Action action) {
        if (action instanceof SendAttempt a) {
            send(now, a, requests.get(a.id()));
        } else if (action instanceof RejectRequest a) {
            Taken t = requests.get(a.id());
            boolean harmless = cls(t).idempotency() == Idempotency.IDEMPOTENT
                    || t.ranOn == null && !t.out
                    || cls(t).idempotency() == Idempotency.WITH_KEY
                            && cls(t).deduplicationScope() == DeduplicationScope.ALL;
            check(harmless, "rule 2: refusal of work that may have run: " + a.id());
            close(now, t);
        } else if (action instanceof FailRequest a) {
            close(now, requests.get(a.id()));
        }
    }

    private void close(long now, Taken t) {
        check(!t.over, "rule 1: second final answer: " + t.request.id());
        check(
                now <= t.takenAt + t.request.expiresInUs() + s.rules().answerSlackUs(),
                "rule 1: late: " + t.request.id());
        t.over = true;
    }

    private void send(long now, SendAttempt a, Taken t) {
        check(t != null && !t.over, "rule 1: sent after its end: " + a.id());
        check(!t.out, "two attempts at once: " + a.id());
        check(t.attempts < s.limits().maxAttempts(), "too many attempts: " + a.id());
        EngineEntry e = entries.get(a.engine());
        check(e != null, "unknown engine " + a.engine());
        Long stopped = stoppedAt.get(a.engine());
        check(stopped == null || now <= stopped + s.rules().drainGraceUs(), "rule 3: sent to stopped " + a.engine());
        check(cls(t).permittedKinds() == null || cls(t).permittedKinds().contains(e.kind()), "rule 6: kind");
        check(cls(t).permittedZones() == null || cls(t).permittedZones().contains(e.zone()), "rule 6: zone");
        repeat(now, t, e);
        order(now, t);
        if (t.attempts > 0) {
            budget(now);
        }
        cold(now, t, e);
        t.attempts++;
        t.out = true;
        t.sentAt = now;
        t.sentTo = a.engine();
    }

    private void repeat(long now, Taken t, EngineEntry e) {
        if (t.ranOn == null || cls(t).idempotency() == Idempotency.IDEMPOTENT) {
            return;
        }
        check(cls(t).idempotency() == Idempotency.WITH_KEY, "rule 2: unsafe sent again");
        check(now <= t.ranAt + cls(t).deduplicationWindowUs(), "rule 2: keyed sent again after its window");
        boolean inGroup = switch (cls(t).deduplicationScope()) {
            case ALL -> true;
            case ZONE -> e.zone() == t.ranOn.zone();
            case CELL -> e.cell() == t.ranOn.cell();
        };
        check(inGroup, "rule 2: keyed sent outside its group");
    }

    private void order(long now, Taken t) {
        if (!ordered(t)) {
            return;
        }
        for (Taken u : requests.values()) {
            if (u.seq < t.seq && ordered(u) && u.request.key().equals(t.request.key())) {
                check(u.over && !u.out, "rule 5: " + t.request.id() + " before " + u.request.id());
            }
        }
        check(t.attempts > 0 || now >= keyRest.getOrDefault(t.request.key(), Long.MIN_VALUE), "rule 5: key at rest");
    }

    private void budget(long now) {
        furtherAt.add(now);
        if (s.rules().retryBudgetWindowUs() > 0) {
            long from = now - s.rules().retryBudgetWindowUs();
            long further = furtherAt.stream().filter(x -> x >= from).count();
            long taken = takenAt.stream().filter(x -> x > from).count();
            check(further <= s.rules().retryBudgetFloor() + s.rules().retryBudgetRatio() * taken, "rule 7: budget");
        }
    }

    private void cold(long now, Taken t, EngineEntry e) {
        long age = now - e.startedUs();
        if (e.startedUs() <= 0 || age >= s.rules().slowStartUs()) {
            return;
        }
        List<double[]> sent = coldWork.computeIfAbsent(e.id() + e.startedUs(), id -> new ArrayList<>());
        sent.add(new double[] {now, usualWork[t.request.classIndex()]});
        double work = sent.stream()
                .filter(x -> x[0] > now - s.rules().overloadWindowUs())
                .mapToDouble(x -> x[1])
                .sum();
        double warmth = s.rules().slowStartFrom()
                + (1 - s.rules().slowStartFrom()) * age / s.rules().slowStartUs();
        double capacity = warmth * capacityPerCore * s.kinds().get(e.kind()).cores() / s.gateways();
        check(
                work <= s.rules().overloadMultiple() * capacity * s.rules().overloadWindowUs(),
                "rule 4: cold engine pushed over");
    }

    /** At the end of a test: each request has its answer, unless it is in flight or queued in time. */
    void end(long now) {
        for (Taken t : requests.values()) {
            check(
                    t.over
                            || now
                                    <= t.takenAt
                                            + t.request.expiresInUs()
                                            + s.rules().answerSlackUs(),
                    "rule 1: no answer: " + t.request.id());
        }
    }

    private static void check(boolean holds, String rule) {
        if (!holds) {
            fail(rule);
        }
    }
}
