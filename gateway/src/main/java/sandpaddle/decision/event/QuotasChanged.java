package sandpaddle.decision.event;

import java.util.List;

/**
 * Replaces all quotas. An attempt must fit within every quota that covers it. Checking an engine takes time linear in
 * the number of quotas for that engine and for any engine.
 *
 * @param quotas all quotas of this gateway; empty for no limits
 * @param retryAfterUs Retry-After for requests rejected because of a quota, in microseconds; 0 where unknown
 */
public record QuotasChanged(List<Quota> quotas, long retryAfterUs) implements Event {

    /** Copies the list. */
    public QuotasChanged {
        quotas = List.copyOf(quotas);
    }
}
