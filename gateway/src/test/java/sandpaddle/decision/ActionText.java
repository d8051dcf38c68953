package sandpaddle.decision;

import java.util.Locale;
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

/** Actions of the decision module as text for recorded files; independent of the names of types and components. */
final class ActionText {
    private ActionText() {}

    /** Returns an action as one line: a word, then its values in a fixed order. */
    static String of(Action action) {
        if (action instanceof SendAttempt a) {
            return line("send", a.id(), a.engine(), a.timeoutUs(), a.trial(), a.writeDeadlineUs());
        } else if (action instanceof SetAttemptOptions a) {
            return line("terms", a.id(), a.priority(), String.format(Locale.ROOT, "%a", a.memoryMb()));
        } else if (action instanceof RejectRequest a) {
            return line("reject", a.id(), a.retryAfterUs());
        } else if (action instanceof FailRequest a) {
            return line("fail", a.id());
        } else if (action instanceof CancelAttempt a) {
            return line("cancel", a.id(), a.attempt());
        } else if (action instanceof StartHealthCheck a) {
            return line("probe", a.engine());
        } else if (action instanceof ScheduleTimer a) {
            return line("timer", a.token(), a.atUs());
        } else if (action instanceof SubscribeToEngineList) {
            return "subscribe";
        } else if (action instanceof LogMessage a) {
            return line("log", a.text());
        }
        throw new IllegalArgumentException("unsupported action: " + action);
    }

    private static String line(Object... words) {
        StringBuilder line = new StringBuilder();
        for (Object word : words) {
            line.append(line.length() == 0 ? "" : " ").append(word);
        }
        return line.toString();
    }
}
