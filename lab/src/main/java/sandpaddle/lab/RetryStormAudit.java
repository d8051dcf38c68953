package sandpaddle.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Recomputes the figures of a retry storm experiment from its event file alone. It shares no code with the counters of
 * the stand-ins, so that it checks them independently.
 */
final class RetryStormAudit {
    private static final long US_PER_SECOND = 1_000_000;
    // time allowed after the endpoint list reports that an engine drains or is gone
    private static final long DRAIN_GRACE_US = 300_000;
    private static final long RECOVERY_WINDOW_S = 5;
    private static final double RECOVERED_SHARE = 0.9;

    private static final class Request {
        private long firstSentUs;
        private double priorityWeight, lateWeightFactor, earned;
        private long latencyObjectiveUs;
        private boolean measured;
    }

    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final Map<String, Integer> answerCounts = new HashMap<>(); // by attempt
    private final Map<String, String> requestOfAttempt = new HashMap<>(); // request ID by attempt
    // attempts that started at an engine, by request
    private final Map<String, Set<String>> loadAttempts = new HashMap<>();
    // by engine: when the endpoint list first reported it as draining or gone
    private final Map<String, Long> drainingSince = new HashMap<>();
    private final Map<String, Long> answers = new TreeMap<>();
    private long duplicateAnswers, coldCrashes, drainViolations, unknownAttempts, restoredUs, lastSentUs;

    /** Returns the figures of an event file by name. */
    static Map<String, Object> recount(Path file) throws IOException {
        RetryStormAudit audit = new RetryStormAudit();
        try (JsonParser in = new JsonFactory().createParser(file.toFile())) {
            while (in.nextToken() == JsonToken.START_OBJECT) {
                Map<String, String> event = new HashMap<>();
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String key = in.currentName();
                    in.nextToken();
                    event.put(key, in.getText());
                }
                audit.process(event);
            }
        }
        return audit.figures();
    }

    private void process(Map<String, String> event) {
        long timestampUs = Long.parseLong(event.get("us"));
        switch (event.get("party") + " " + event.get("kind")) {
            case "client ask" -> attemptSent(event, timestampUs);
            case "client answer" -> attemptAnswered(event, timestampUs);
            case "engine begin" -> attemptStarted(event, timestampUs);
            case "engine cold-fall" -> coldCrashes++;
            case "feed told" -> {
                if (!event.get("outcome").equals("Ready")) {
                    drainingSince.putIfAbsent(event.get("engine"), timestampUs);
                }
            }
            case "script return" -> restoredUs = restoredUs == 0 ? timestampUs : restoredUs;
            default -> {} // other events do not affect the figures
        }
    }

    private void attemptSent(Map<String, String> event, long timestampUs) {
        requestOfAttempt.put(event.get("attempt"), event.get("request"));
        lastSentUs = timestampUs;
        requests.computeIfAbsent(event.get("request"), id -> {
            Request request = new Request();
            request.firstSentUs = timestampUs;
            request.priorityWeight = Double.parseDouble(event.get("worth"));
            request.lateWeightFactor = Double.parseDouble(event.get("late"));
            request.latencyObjectiveUs = Long.parseLong(event.get("aim"));
            request.measured = event.get("counts").equals("1");
            return request;
        });
    }

    private void attemptAnswered(Map<String, String> event, long timestampUs) {
        String outcome = event.get("outcome");
        int before = answerCounts.merge(event.get("attempt"), 1, Integer::sum) - 1;
        if (outcome.equals("second") || before > 0) {
            duplicateAnswers++;
            return;
        }
        answers.merge(outcome, 1L, Long::sum);
        Request request = requests.get(event.get("request"));
        if (outcome.equals("served") && request != null) {
            request.earned = Math.max(
                    request.earned,
                    timestampUs - request.firstSentUs <= request.latencyObjectiveUs
                            ? request.priorityWeight
                            : request.priorityWeight * request.lateWeightFactor);
        }
    }

    private void attemptStarted(Map<String, String> event, long timestampUs) {
        String request = event.get("request");
        // no client sent this attempt for this request
        unknownAttempts += request.equals(requestOfAttempt.get(event.get("attempt"))) ? 0 : 1;
        if (event.get("class").equals("load")) {
            loadAttempts.computeIfAbsent(request, k -> new HashSet<>()).add(event.get("attempt") + " " + timestampUs);
        }
        Long drainAnnouncedUs = drainingSince.get(event.get("engine"));
        drainViolations += drainAnnouncedUs != null && timestampUs > drainAnnouncedUs + DRAIN_GRACE_US ? 1 : 0;
    }

    private Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("requests", (long) requests.size());
        figures.put("tries", (long) requestOfAttempt.size());
        figures.put("answers", answers);
        figures.put("secondAnswers", duplicateAnswers);
        figures.put("lost", answers.getOrDefault("lost", 0L));
        figures.put(
                "unanswered",
                requestOfAttempt.keySet().stream()
                        .filter(a -> !answerCounts.containsKey(a))
                        .count());
        figures.put("strangers", unknownAttempts);
        figures.put(
                "loadsRunTwice",
                loadAttempts.values().stream().filter(runs -> runs.size() > 1).count());
        figures.put("coldFalls", coldCrashes);
        figures.put("drainBreaks", drainViolations);
        figures.put("recoverySeconds", recoverySeconds());
        return figures;
    }

    private double recoverySeconds() {
        TreeMap<Long, double[]> seconds = new TreeMap<>();
        for (Request request : requests.values()) {
            if (request.measured) {
                double[] s = seconds.computeIfAbsent(request.firstSentUs / US_PER_SECOND, k -> new double[2]);
                s[0] += request.priorityWeight;
                s[1] += request.earned;
            }
        }
        for (long end = restoredUs / US_PER_SECOND + 1 + RECOVERY_WINDOW_S;
                restoredUs > 0 && end <= lastSentUs / US_PER_SECOND;
                end++) {
            double demanded = 0;
            double earned = 0;
            for (double[] s : seconds.subMap(end - RECOVERY_WINDOW_S, end).values()) {
                demanded += s[0];
                earned += s[1];
            }
            if (demanded > 0 && earned >= RECOVERED_SHARE * demanded) {
                return end - restoredUs / (double) US_PER_SECOND;
            }
        }
        return -1;
    }
}
