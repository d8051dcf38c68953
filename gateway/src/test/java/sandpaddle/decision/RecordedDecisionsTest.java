package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sandpaddle.config.DecisionSettingsReader;
import sandpaddle.config.InvalidFieldException;
import sandpaddle.config.JsonObject;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.event.EngineCondition;
import sandpaddle.decision.event.EngineVerdict;
import sandpaddle.decision.event.EngineVerdictsChanged;
import sandpaddle.decision.event.Event;
import sandpaddle.decision.event.Quota;
import sandpaddle.decision.event.QuotasChanged;
import sandpaddle.decision.event.RequestReceived;
import sandpaddle.decision.settings.DecisionSettings;
import sandpaddle.recorded.RecordedFile;

/**
 * Compares all actions under random workloads, and under workloads with each setting of the platform's file changed or
 * left out in turn, with those of an earlier version. A line of the recorded file is a digest of the actions on 100
 * events, so the first line that differs names the workload and the events.
 */
class RecordedDecisionsTest {
    private static final int RANDOM_WORKLOADS = 40;
    private static final int FIRST_SEED = 100;
    private static final long LENGTH_US = 6_000_000;
    private static final long SETTING_LENGTH_US = 4_000_000;
    private static final int SETTING_SEED = 3;
    private static final int EVENTS_PER_LINE = 100;
    private static final int EVENTS_BETWEEN_VERDICTS = 60;
    private static final int TENANTS = 4;
    private static final int ENGINES = 8;
    private static final Map<String, String> OTHER_VALUE = Map.of(
            "safe",
            "keyed",
            "keyed",
            "unsafe",
            "unsafe",
            "safe",
            "all",
            "cell",
            "zone",
            "all",
            "inline",
            "on_probe",
            "automatic",
            "subscribe");

    /** Passes events to a module, adds verdicts, quotas and tenants where it is in a fleet, and records the actions. */
    private static final class Recorder implements DecisionModule {
        private final String workload;
        private final DecisionModule module;
        private final SplittableRandom random;
        private final boolean fleet;
        private final List<String> record;
        private final List<String> actions = new ArrayList<>();
        private int events;

        Recorder(String workload, DecisionSettings settings, int seed, boolean fleet, List<String> record) {
            this.workload = workload;
            this.fleet = fleet;
            this.record = record;
            module = new DefaultDecisionModule(settings, seed);
            random = new SplittableRandom(~seed);
        }

        @Override
        public void handle(long nowUs, Event event, Consumer<Action> receiver) {
            if (fleet && events % EVENTS_BETWEEN_VERDICTS == EVENTS_BETWEEN_VERDICTS - 1) {
                deliver(nowUs, random.nextBoolean() ? verdicts(nowUs) : quotas(), receiver);
            }
            deliver(nowUs, fleet && event instanceof RequestReceived r ? withTenant(r) : event, receiver);
        }

        private void deliver(long nowUs, Event event, Consumer<Action> receiver) {
            module.handle(nowUs, event, action -> {
                actions.add(nowUs + " " + ActionText.of(action));
                receiver.accept(action);
            });
            if (++events % EVENTS_PER_LINE == 0) {
                flush();
            }
        }

        void flush() {
            record.add(workload + " events to " + events + ": " + actions.size() + " actions "
                    + RecordedFile.digest(actions));
            actions.clear();
        }

        private RequestReceived withTenant(RequestReceived r) {
            return new RequestReceived(
                    r.id(),
                    r.classIndex(),
                    r.key(),
                    r.expiresInUs(),
                    r.estimateUs(),
                    r.memoryMb(),
                    r.dataGroup(),
                    r.retry(),
                    r.sheddable(),
                    random.nextInt(TENANTS) - 1);
        }

        private Event verdicts(long nowUs) {
            List<EngineVerdict> all = IntStream.range(0, random.nextInt(3))
                    .mapToObj(i -> new EngineVerdict(
                            "e" + random.nextInt(ENGINES),
                            EngineCondition.values()[random.nextInt(EngineCondition.values().length)],
                            nowUs - random.nextInt(500_000),
                            nowUs + random.nextInt(1_500_000)))
                    .toList();
            return new EngineVerdictsChanged(all);
        }

        private Event quotas() {
            List<Quota> all = IntStream.range(0, random.nextInt(4))
                    .mapToObj(i -> new Quota(
                            random.nextInt(4) - 1,
                            random.nextInt(TENANTS) - 1,
                            random.nextBoolean() ? null : "e" + random.nextInt(ENGINES),
                            1 + random.nextInt(12),
                            random.nextBoolean() ? Integer.MAX_VALUE : random.nextInt(20)))
                    .toList();
            return new QuotasChanged(all, random.nextBoolean() ? 0 : 100_000 + random.nextInt(900_000));
        }
    }

    private static void run(
            String workload, int seed, DecisionSettings settings, boolean fleet, long lengthUs, List<String> record) {
        Recorder[] recorder = new Recorder[1];
        new RandomWorkload(seed, settings, s -> {
                    recorder[0] = new Recorder(workload, s, seed, fleet, record);
                    return recorder[0];
                })
                .run(lengthUs);
        recorder[0].flush();
    }

    @Test
    void actionsOfRandomWorkloadsEqualTheRecordedOnes() {
        List<String> record = new ArrayList<>();
        for (int i = 0; i < RANDOM_WORKLOADS; i++) {
            run("day " + i + (i % 2 == 0 ? "" : " in a fleet"), FIRST_SEED + i, null, i % 2 == 1, LENGTH_US, record);
        }
        new RecordedFile("decisions-of-drawn-days.txt").check(record);
    }

    /** Includes the warnings and errors about invalid settings. */
    @Test
    void actionsUnderEachSettingEqualTheRecordedOnes() throws Exception {
        List<String> record = new ArrayList<>();
        runWith("as shipped", settingsByKey(), record);
        int changed = 0;
        Set<String> paths = leaves("", settingsByKey()).keySet();
        for (String path : paths) {
            Map<String, Object> other = settingsByKey();
            if (change(other, path, false)) {
                runWith(path + " changed", other, record);
                changed++;
            }
            Map<String, Object> without = settingsByKey();
            change(without, path, true);
            runWith(path + " left out", without, record);
        }
        assertTrue(changed > 60, "settings changed: " + changed);
        new RecordedFile("decisions-by-setting.txt").check(record);
    }

    private static void runWith(String workload, Map<String, Object> settingsByKey, List<String> record) {
        List<String> warnings = new ArrayList<>();
        try {
            DecisionSettings settings =
                    DecisionSettingsReader.read(new JsonObject("settings.", settingsByKey), warnings);
            warnings.forEach(w -> record.add(workload + " warning: " + w));
            run(workload, SETTING_SEED, settings, false, SETTING_LENGTH_US, record);
        } catch (InvalidFieldException | IllegalArgumentException e) {
            record.add(workload + " fault: " + e.getMessage());
        }
    }

    private static Map<String, Object> settingsByKey() throws Exception {
        try (JsonParser in = new JsonFactory().createParser(UnusualSettingsTest.settingsText())) {
            in.nextToken();
            return JsonObject.read(in, "").asMap();
        }
    }

    /**
     * Returns the values of an object that are not objects themselves, by path; keys in a path are separated by '/'.
     */
    private static Map<String, Object> leaves(String path, Object value) {
        Map<String, Object> leaves = new TreeMap<>();
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, v) -> leaves.putAll(leaves(path + (path.isEmpty() ? "" : "/") + key, v)));
        } else if (value instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Map) {
            for (int i = 0; i < list.size(); i++) {
                leaves.putAll(leaves(path + "/" + i, list.get(i)));
            }
        } else {
            leaves.put(path, value);
        }
        return leaves;
    }

    /** Changes or removes the value at a path; returns false where no other value is defined. */
    @SuppressWarnings("unchecked")
    private static boolean change(Map<String, Object> settingsByKey, String path, boolean remove) {
        String[] parts = path.split("/");
        Object node = settingsByKey;
        for (int i = 0; i < parts.length - 1; i++) {
            node = node instanceof List<?> list
                    ? list.get(Integer.parseInt(parts[i]))
                    : ((Map<?, ?>) node).get(parts[i]);
        }
        Map<String, Object> owner = (Map<String, Object>) node;
        String key = parts[parts.length - 1];
        Object other = remove ? null : otherValue(owner.get(key));
        if (remove) {
            owner.remove(key);
        } else if (other != null) {
            owner.put(key, other);
        }
        return other != null;
    }

    private static Object otherValue(Object value) {
        if (value instanceof Boolean b) {
            return !b;
        } else if (value instanceof Long n) {
            return n < 10 ? n + 1 : n * 2;
        } else if (value instanceof Double x) {
            return x == 0 ? 0.3 : x / 2;
        } else if (value instanceof List<?> list) {
            return list.size() > 1 ? list.subList(0, list.size() - 1) : null;
        }
        return value instanceof String s ? OTHER_VALUE.get(s) : null;
    }
}
