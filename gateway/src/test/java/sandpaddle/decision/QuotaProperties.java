package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.Quota;
import sandpaddle.decision.event.QuotasChanged;
import sandpaddle.decision.event.RequestReceived;

/** Random quotas, requests and answers, checked by a model that is independent of the module. */
class QuotaProperties {
    private static final List<String> ENGINES = List.of("a", "b", "c");

    private final Map<String, RequestReceived> queued = new LinkedHashMap<>();
    private final Map<String, SendAttempt> inFlight = new LinkedHashMap<>();
    private final Map<String, RequestReceived> all = new LinkedHashMap<>();
    private List<Quota> quotas = List.of();
    private List<SendAttempt> sendsSince = new ArrayList<>();
    private SplittableRandom random;

    @Property(tries = 60, seed = "4711")
    void quotasAreNeverExceededAndNoRequestWaitsWithinThem(@ForAll long seed) {
        random = new SplittableRandom(seed);
        queued.clear();
        inFlight.clear();
        all.clear();
        quotas = List.of();
        sendsSince = new ArrayList<>();
        TestGateway gateway = new TestGateway(new TestGateway.Spec())
                .receiveList(
                        EngineListKind.FULL,
                        ENGINES.stream().map(TestGateway::engine).toArray(EngineEntry[]::new));
        int sends = 0;
        for (int step = 0; step < 150; step++) {
            gateway.advance(random.nextInt(20) * TestGateway.MILLISECOND_US);
            int draw = random.nextInt(100);
            if (draw < 8) {
                quotas = randomQuotas();
                sendsSince = new ArrayList<>();
                applyActions(gateway.handle(new QuotasChanged(quotas, 0)));
            } else if (draw < 55) {
                RequestReceived r = new RequestReceived(
                        "r" + step,
                        random.nextInt(2),
                        null,
                        4 * TestGateway.SECOND_US,
                        0,
                        0,
                        -1,
                        false,
                        false,
                        random.nextInt(4) - 1);
                all.put(r.id(), r);
                queued.put(r.id(), r);
                applyActions(gateway.handle(r));
            } else if (!inFlight.isEmpty()) {
                String id = new ArrayList<>(inFlight.keySet()).get(random.nextInt(inFlight.size()));
                inFlight.remove(id);
                applyActions(gateway.answer(id, AttemptResult.OK));
            }
            sends += sendsSince.size();
            for (RequestReceived r : queued.values()) {
                assertTrue(
                        gateway.isRejected(r.id()) || ENGINES.stream().noneMatch(e -> isPermitted(r, e)),
                        r + " is queued although quotas permit it");
            }
        }
        assertTrue(sends > 0);
        assertFalse(all.isEmpty());
    }

    /** Returns random quotas; one of them always limits all attempts, so that engines are never overloaded. */
    private List<Quota> randomQuotas() {
        List<Quota> quotas =
                new ArrayList<>(List.of(new Quota(-1, -1, null, 1 + random.nextInt(4), Integer.MAX_VALUE)));
        for (int i = random.nextInt(5); i > 0; i--) {
            quotas.add(new Quota(
                    random.nextInt(3) - 1,
                    random.nextInt(4) - 1,
                    random.nextBoolean() ? null : ENGINES.get(random.nextInt(3)),
                    random.nextInt(4),
                    random.nextBoolean() ? Integer.MAX_VALUE : random.nextInt(6)));
        }
        return quotas;
    }

    private void applyActions(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof SendAttempt s) {
                assertTrue(isPermitted(all.get(s.id()), s.engine()), s + " exceeds " + quotas);
                queued.remove(s.id());
                inFlight.put(s.id(), s);
                sendsSince.add(s);
            }
        }
    }

    private boolean isPermitted(RequestReceived r, String engine) {
        return quotas.stream()
                .filter(a -> covers(a, r, engine))
                .allMatch(a -> inFlight.values().stream()
                                        .filter(s -> covers(a, all.get(s.id()), s.engine()))
                                        .count()
                                < a.maxInFlight()
                        && (a.maxStarts() == Integer.MAX_VALUE
                                || sendsSince.stream()
                                                .filter(s -> covers(a, all.get(s.id()), s.engine()))
                                                .count()
                                        < a.maxStarts()));
    }

    private static boolean covers(Quota a, RequestReceived r, String engine) {
        boolean matchesClass = a.classIndex() == -1 || a.classIndex() == r.classIndex();
        boolean matchesTenant = a.tenant() == -1 || a.tenant() == r.tenant();
        return matchesClass
                && matchesTenant
                && (a.engine() == null || a.engine().equals(engine));
    }
}
