package sandpaddle.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import sandpaddle.config.DecisionSettingsReader;
import sandpaddle.config.JsonObject;
import sandpaddle.decision.settings.DecisionSettings;

/** Reading settings: names have no effect, and lists in another order give the same settings in that order. */
class SettingsPermutationTest {
    private static final List<Integer> ORDER = List.of(2, 0, 1); // new index of each entry

    private static Map<String, Object> settingsByKey() throws Exception {
        try (JsonParser in = new JsonFactory().createParser(UnusualSettingsTest.settingsText())) {
            in.nextToken();
            return JsonObject.read(in, "").asMap();
        }
    }

    private static DecisionSettings read(Map<String, Object> settings) throws Exception {
        return DecisionSettingsReader.read(new JsonObject("settings.", settings), new ArrayList<>());
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> part(Map<String, Object> owner, String key) {
        return (Map<String, Object>) owner.get(key);
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> rows(Map<String, Object> owner, String key) {
        return (List<Map<String, Object>>) owner.get(key);
    }

    /** Reorders a list; {@code newIndex} maps the index of each entry to its new one. */
    private static void reorder(Map<String, Object> owner, String key, UnaryOperator<Integer> newIndex) {
        List<?> entries = (List<?>) owner.get(key);
        Object[] reordered = new Object[entries.size()];
        for (int i = 0; i < reordered.length; i++) {
            reordered[newIndex.apply(i)] = entries.get(i);
        }
        owner.put(key, new ArrayList<>(Arrays.asList(reordered)));
    }

    private static void mapIndices(Map<String, Object> owner, String key, UnaryOperator<Integer> newIndex) {
        if (owner.containsKey(key)) {
            owner.put(
                    key,
                    ((List<?>) owner.get(key))
                            .stream()
                                    .map(n -> (Object) (long) newIndex.apply(((Long) n).intValue()))
                                    .toList());
        }
    }

    @Test
    void namesDoNotChangeDecisions() throws Exception {
        Map<String, Object> settings = settingsByKey();
        DecisionSettings original = read(settings);
        for (String list : List.of("classes", "tenants")) {
            rows(settings, list).forEach(r -> r.put("name", "another " + r.get("name")));
        }
        for (String list : List.of("failure_domains", "models", "tiers")) {
            settings.put(
                    list,
                    ((List<?>) settings.get(list))
                            .stream().map(n -> "another " + n).toList());
        }
        assertEquals(original, read(settings));
    }

    @Test
    void theOrderOfClassesDoesNotChangeDecisions() throws Exception {
        Map<String, Object> settings = settingsByKey();
        EventReplay.Renaming renaming = new EventReplay.Renaming();
        renaming.classIndex = ORDER::get;
        DecisionSettings expected = renaming.settings(read(settings));
        reorder(settings, "classes", renaming.classIndex);
        assertNotEquals(expected, read(settings)); // lists of values by class still have the old order
        for (String key : List.of("class_load", "class_threads", "class_waits")) {
            reorder(part(settings, "specifics"), key, renaming.classIndex);
        }
        assertEquals(expected, read(settings));
    }

    @Test
    void theOrderOfZonesKindsAndTenantsDoesNotChangeDecisions() throws Exception {
        Map<String, Object> settings = settingsByKey();
        EventReplay.Renaming renaming = new EventReplay.Renaming();
        renaming.zone = ORDER::get;
        renaming.kind = k -> 1 - k;
        DecisionSettings expected = renaming.settings(read(settings));
        reorder(settings, "failure_domains", renaming.zone);
        reorder(settings, "models", renaming.kind);
        reorder(settings, "tenants", t -> 1 - t);
        reorder(part(settings, "specifics"), "size_cores", renaming.kind);
        reorder(part(settings, "specifics"), "kind_memory_mb", renaming.kind);
        assertNotEquals(expected, read(settings));
        settings.put("zone", (long) renaming.zone.apply(((Long) settings.get("zone")).intValue()));
        rows(settings, "classes").forEach(c -> {
            mapIndices(c, "allowed_on", renaming.kind);
            mapIndices(c, "failure_domains_allowed", renaming.zone);
        });
        assertEquals(expected, read(settings));
    }

    /** Like the control feed, settings may state kinds and zones by name. */
    @Test
    void placementByNameEqualsPlacementByPosition() throws Exception {
        Map<String, Object> settings = settingsByKey();
        DecisionSettings original = read(settings);
        Map<String, Object> placed = rows(settings, "classes").get(1);
        placed.put("allowed_on", List.of("ka", "kb"));
        placed.put("failure_domains_allowed", List.of("za", "zc"));
        assertEquals(original, read(settings));
        placed.put("failure_domains_allowed", List.of("za", "zb"));
        assertNotEquals(original, read(settings));
    }
}
