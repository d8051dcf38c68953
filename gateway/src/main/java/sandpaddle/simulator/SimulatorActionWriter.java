package sandpaddle.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import sandpaddle.decision.action.Action;
import sandpaddle.decision.action.CancelAttempt;
import sandpaddle.decision.action.FailRequest;
import sandpaddle.decision.action.LogMessage;
import sandpaddle.decision.action.RejectRequest;
import sandpaddle.decision.action.ScheduleTimer;
import sandpaddle.decision.action.SendAttempt;
import sandpaddle.decision.action.SetAttemptOptions;
import sandpaddle.decision.action.StartHealthCheck;
import sandpaddle.decision.action.SubscribeToEngineList;

/**
 * Writes the actions of the decision module in the simulator's protocol: one line per action, an object whose only key
 * is the action's name on the wire. {@link SimulatorEventReader} reads the events.
 */
final class SimulatorActionWriter {
    private final JsonGenerator json;

    SimulatorActionWriter(JsonGenerator json) {
        this.json = json;
    }

    /** Acknowledges a batch of events after its actions have been written, and flushes the output. */
    void endBatch(long batch) throws IOException {
        json.writeStartObject();
        json.writeObjectFieldStart("ok");
        json.writeNumberField("batch", batch);
        json.writeEndObject();
        json.writeEndObject();
        json.writeRaw('\n');
        json.flush();
    }

    /** Writes an action that a gateway's module has emitted. */
    void write(String gateway, Action action) throws IOException {
        json.writeStartObject();
        writeBody(gateway, action);
        json.writeEndObject();
        json.writeEndObject();
    }

    private void writeBody(String gateway, Action action) throws IOException {
        if (action instanceof SendAttempt send) {
            sendAttempt(gateway, send);
        } else if (action instanceof SetAttemptOptions options) {
            setAttemptOptions(gateway, options);
        } else if (action instanceof RejectRequest reject) {
            rejectRequest(gateway, reject);
        } else if (action instanceof FailRequest fail) {
            start("drop_request", gateway, fail.id());
        } else if (action instanceof CancelAttempt cancel) {
            cancelAttempt(gateway, cancel);
        } else if (action instanceof StartHealthCheck check) {
            startHealthCheck(gateway, check);
        } else if (action instanceof ScheduleTimer timer) {
            scheduleTimer(gateway, timer);
        } else if (action instanceof SubscribeToEngineList) {
            subscribeToEngineList(gateway);
        } else if (action instanceof LogMessage message) {
            logMessage(gateway, message);
        }
    }

    private void start(String name, String gateway) throws IOException {
        json.writeObjectFieldStart(name);
        json.writeStringField("who", gateway);
    }

    private void start(String name, String gateway, String requestId) throws IOException {
        start(name, gateway);
        json.writeStringField("msg_id", requestId);
    }

    private void sendAttempt(String gateway, SendAttempt send) throws IOException {
        start("transmit", gateway, send.id());
        json.writeStringField("node", send.engine());
        json.writeNumberField("within_us", send.timeoutUs());
    }

    private void setAttemptOptions(String gateway, SetAttemptOptions options) throws IOException {
        start("grant_and_rank", gateway, options.id());
        json.writeNumberField("importance", options.priority());
        json.writeNumberField("workspace_mb", options.memoryMb());
    }

    private void rejectRequest(String gateway, RejectRequest reject) throws IOException {
        start("busy", gateway, reject.id());
        json.writeNumberField("not_before_for_us", reject.retryAfterUs());
    }

    private void cancelAttempt(String gateway, CancelAttempt cancel) throws IOException {
        start("call_off", gateway, cancel.id());
        json.writeNumberField("copy", cancel.attempt());
    }

    private void startHealthCheck(String gateway, StartHealthCheck check) throws IOException {
        start("sample", gateway);
        json.writeStringField("node", check.engine());
    }

    private void scheduleTimer(String gateway, ScheduleTimer timer) throws IOException {
        start("notify_me", gateway);
        json.writeStringField("token", timer.token());
        json.writeNumberField("alarm_time_us", timer.atUs());
    }

    private void subscribeToEngineList(String gateway) throws IOException {
        start("track", gateway);
        json.writeBooleanField("enable", true);
    }

    private void logMessage(String gateway, LogMessage message) throws IOException {
        start("debug", gateway);
        json.writeStringField("note_text", message.text());
    }
}
