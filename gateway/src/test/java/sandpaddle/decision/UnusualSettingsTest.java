package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sandpaddle.config.DecisionSettingsReader;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.JsonObject;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.FailRequest;
import sandpaddle.decision.action.RejectRequest;
import sandpaddle.decision.action.ScheduleTimer;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.action.SetAttemptOptions;
import sandpaddle.decision.event.AttemptEnded;
import sandpaddle.decision.event.AttemptResult;
import sandpaddle.decision.event.ClientDisconnected;
import sandpaddle.decision.event.EngineEntry;
import sandpaddle.decision.event.EngineListKind;
import sandpaddle.decision.event.EngineListReceived;
import sandpaddle.decision.event.EngineStatus;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.event.TimerFired;
import sandpaddle.decision.model.Sweep;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.overload.OverloadController;
import sandpaddle.overload.OverloadSettings;

/**
 * Replaces each number of the settings in turn by unusual values that JSON permits, and by null. The settings must be
 * accepted unless no default can replace the value, and a random workload must then succeed: no exception, an answer
 * for each request in time, and only finite numbers in actions.
 */
class UnusualSettingsTest {
    private static final long LENGTH_US = 400_000;
    /** Time until the deadline of a request of the workload. */
    private static final long EXPIRES_IN_US = 6_000_000;

    private static final List<String> UNUSUAL_VALUES = List.of(
            "null",
            "0",
            "-1",
            "1",
            "0.5",
            "1e-300",
            "-1e300",
            "1e300",
            "1e400",
            "9223372036854775807",
            "-9223372036854775808",
            "4294967296",
            "99999999999999999999");
    /** Numbers that the platform always states and that have no default: settings without them may be refused. */
    private static final Set<String> REQUIRED = Set.of(
            "balancers",
            "me",
            "hard_limit_us",
            "max_attempts",
            "most_held",
            "answer_slack_us",
            "drain_grace_us",
            "cold_from",
            "cold_us",
            "tip_multiple",
            "fall_us");
    /** Integers: a fraction may be refused too. */
    private static final Set<String> INTEGERS = Set.of("balancers", "me", "max_attempts", "most_held");

    /** Returns the text of the settings with the number at an index among all numbers replaced. */
    private static String replaceNumber(String text, int index, String value) {
        List<int[]> numbers = numbers(text);
        return text.substring(0, numbers.get(index)[0]) + value + text.substring(numbers.get(index)[1]);
    }

    private static List<int[]> numbers(String text) {
        List<int[]> found = new ArrayList<>();
        var m = Pattern.compile("(?<=[ \\[])-?[0-9][0-9.]*(?=[,\\]}\\s])").matcher(text);
        while (m.find()) {
            found.add(new int[] {m.start(), m.end()});
        }
        return found;
    }

    private static String keyBefore(String text, int at) {
        int end = text.lastIndexOf("\":", at);
        return text.substring(text.lastIndexOf('"', end - 1) + 1, end);
    }

    private static DecisionSettings read(String text) throws Exception {
        return DecisionSettingsReader.read(
                JsonObject.parse(text.getBytes(StandardCharsets.UTF_8), "settings."), new ArrayList<>());
    }

    static String settingsText() throws Exception {
        String text = Files.readString(Path.of("gateway/src/test/resources/settings-full.json"));
        assertTrue(numbers(text).size() > 50, "numbers " + numbers(text).size());
        return text;
    }

    @Test
    void unusualNumbersInSettingsCauseNoFault() throws Exception {
        String text = settingsText();
        List<String> faults = new ArrayList<>();
        Set<DecisionSettings> accepted = new HashSet<>(); // many values give the same settings
        for (int n = 0; n < numbers(text).size(); n++) {
            String key = keyBefore(text, numbers(text).get(n)[0]);
            for (String value : UNUSUAL_VALUES) {
                DecisionSettings s;
                try {
                    s = read(replaceNumber(text, n, value));
                } catch (InvalidFieldException | IllegalArgumentException e) {
                    if (!mayBeRefused(key, value) || !e.getMessage().contains(key)) {
                        faults.add(key + " = " + value + ": " + e);
                    }
                    continue;
                }
                if (!accepted.add(s)) {
                    continue;
                }
                try {
                    runWithRestartedFleet(s);
                    runWorkload(s);
                    runOverloadController(s);
                } catch (RuntimeException | AssertionError e) {
                    faults.add(key + " = " + value + ": " + e);
                }
            }
        }
        assertTrue(faults.isEmpty(), faults.size() + " faults\n" + String.join("\n", faults));
        assertTrue(accepted.size() > 100, "accepted " + accepted.size());
    }

    private static boolean mayBeRefused(String key, String value) {
        return value.equals("null") && REQUIRED.contains(key)
                || key.equals("hard_limit_us") && (value.startsWith("-") || Double.parseDouble(value) < 1)
                || INTEGERS.contains(key) && (value.equals("0.5") || value.equals("1e-300"));
    }

    /** Runs a random workload, and checks that each request has one answer before its deadline. */
    private static void runWorkload(DecisionSettings s) {
        Map<String, Long> open = new HashMap<>();
        Map<String, Long> inFlight = new HashMap<>();
        DefaultDecisionModule module = new DefaultDecisionModule(s, 5);
        long[] last = new long[1];
        new RandomWorkload(5, s, unused -> (now, event, actions) -> {
                    last[0] = now;
                    if (event instanceof RequestReceived r) {
                        open.put(r.id(), now);
                    } else if (event instanceof AttemptEnded o) {
                        inFlight.remove(o.id());
                        if (o.settled()) {
                            open.remove(o.id());
                        }
                    } else if (event instanceof ClientDisconnected l) {
                        open.remove(l.id());
                    }
                    module.handle(now, event, a -> {
                        if (a instanceof SendAttempt send) {
                            inFlight.put(send.id(), now);
                            check(send.timeoutUs() >= 0 && send.timeoutUs() <= EXPIRES_IN_US, a);
                        } else if (a instanceof SetAttemptOptions t) {
                            check(Double.isFinite(t.memoryMb()) && t.memoryMb() >= 0, a);
                        } else if (a instanceof ScheduleTimer t) {
                            check(t.atUs() > now && t.atUs() <= now + LENGTH_US, a);
                        } else if (a instanceof RejectRequest r) {
                            check(r.retryAfterUs() >= 0, a);
                            check(open.remove(r.id()) != null, a);
                        } else if (a instanceof FailRequest f) {
                            check(open.remove(f.id()) != null, a);
                        }
                        actions.accept(a);
                    });
                })
                .run(LENGTH_US);
        // queued requests are answered by the sweeps alone, without further events
        Set<String> queued = new HashSet<>(open.keySet());
        queued.removeAll(inFlight.keySet());
        for (long now = last[0];
                !queued.isEmpty() && now <= last[0] + EXPIRES_IN_US + LENGTH_US;
                now += Sweep.INTERVAL_US) {
            module.handle(now, new TimerFired("sweep"), a -> {
                if (a instanceof RejectRequest r) {
                    queued.remove(r.id());
                } else if (a instanceof FailRequest f) {
                    queued.remove(f.id());
                } else if (a instanceof SendAttempt send) {
                    queued.remove(send.id());
                }
            });
        }
        check(queued.isEmpty(), queued);
    }

    /**
     * Runs without engines at first: requests with a long enough latency objective must be queued, even where sums of
     * times overflow. Then the whole fleet has just started, so that loads are scaled by the capacity of engines that
     * are warming up.
     */
    private static void runWithRestartedFleet(DecisionSettings s) {
        DefaultDecisionModule module = new DefaultDecisionModule(s, 5);
        long now = 1_000_000_000;
        List<SendAttempt> sent = new ArrayList<>();
        Set<String> ended = new HashSet<>();
        int requests = 0;
        for (int sweep = 0; sweep < 24; sweep++, now += Sweep.INTERVAL_US) {
            long at = now;
            List<SendAttempt> before = List.copyOf(sent);
            sent.clear();
            Consumer<Action> receiver = a -> {
                if (a instanceof SendAttempt send) {
                    check(at + send.timeoutUs() > at, send);
                    sent.add(send);
                } else if (a instanceof RejectRequest r) {
                    ended.add(r.id());
                }
            };
            module.handle(now, new TimerFired("sweep"), receiver);
            before.forEach(b -> module.handle(
                    at,
                    new AttemptEnded(
                            b.id(), 0, b.engine(), AttemptResult.OK, true, 20_000, 0, 0, new double[] {0.5, 0, 0.5}),
                    receiver));
            if (sweep == 4) {
                long started = now;
                module.handle(
                        now,
                        new EngineListReceived(
                                EngineListKind.FULL,
                                IntStream.range(0, 3)
                                        .mapToObj(
                                                i -> new EngineEntry("e" + i, i, i % 2, 0, EngineStatus.UP, 1, started))
                                        .toList()),
                        receiver);
            }
            for (int c = 0; c < s.classes().size(); c++) {
                String id = c + "-" + requests++;
                module.handle(now, new RequestReceived(id, c, null, EXPIRES_IN_US, 20_000, 10, -1, false), receiver);
                check(
                        s.classes().get(c).latencyObjectiveUs() < 500_000 || !ended.contains(id),
                        "rejected immediately: " + id);
            }
        }
    }

    /** Runs the overload controller under the settings: no exception, and Retry-After values within bounds. */
    private static void runOverloadController(DecisionSettings s) {
        OverloadController controller = new OverloadController(s, OverloadSettings.OFF, 3, 0);
        controller.endpointListReceived(
                0,
                EngineListKind.FULL,
                List.of(
                        new EngineEntry("a", 0, 0, 0, EngineStatus.UP, 1, 0),
                        new EngineEntry("b", 0, 1, 0, EngineStatus.UP, 1, 2_500_000)));
        for (int tick = 1; tick < 30; tick++) {
            long now = tick * OverloadController.TICK_INTERVAL_US;
            for (int i = 0; i < 6; i++) {
                OverloadController.TrackedQuery a =
                        controller.queryArrived(now, i, i % s.classes().size(), i * 10_000);
                long retryAfterUs = controller.queryEnded(now, a, OverloadController.Outcome.REJECTED, 0);
                check(retryAfterUs >= 0 && retryAfterUs <= 61_000_000, retryAfterUs);
            }
            controller.tick(now);
            check(
                    controller.retryAfterWhenFull(now) >= 0
                            && Double.isFinite(controller.stats(now).admittedWorkUsPerS()),
                    controller.stats(now));
        }
    }

    private static void check(boolean holds, Object what) {
        if (!holds) {
            fail(String.valueOf(what));
        }
    }
}
