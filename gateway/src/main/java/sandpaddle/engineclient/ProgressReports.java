package sandpaddle.engineclient;

import sandpaddle.query.EngineClient;

/** Reads progress reports from the responses of a running query. Confined to the event loop's thread. */
final class ProgressReports {
    private static final String TOPIC_HEADER = "x-result";
    private static final String VALUE_HEADER = "note-value";

    private final EngineClient.AttemptListener listener;
    private String lastReport; // topic and value, null before the first

    ProgressReports(EngineClient.AttemptListener listener) {
        this.listener = listener;
    }

    /** Whether a response repeats the report of the previous one; remembers its report. */
    boolean isSameAsLast(Response response) {
        String report = response.header(TOPIC_HEADER) + " " + response.header(VALUE_HEADER);
        boolean same = report.equals(lastReport);
        lastReport = report;
        return same;
    }

    /** Whether a response carries a report. */
    static boolean isPresent(Response response) {
        return response.header(TOPIC_HEADER) != null;
    }

    /** Passes a report on to the listener; ignores an incomplete or malformed one. */
    void publish(Response response) {
        String topic = response.header(TOPIC_HEADER);
        String value = response.header(VALUE_HEADER);
        if (topic == null || value == null) {
            return;
        }
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            return;
        }
        listener.onProgress(topic, number);
    }
}
