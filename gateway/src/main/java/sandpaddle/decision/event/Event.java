package sandpaddle.decision.event;

/**
 * Input of the decision module. A load report holds one value for each report field of the settings, in the same
 * order; it is null where the engine sent none.
 */
public sealed interface Event
        permits EngineListReceived,
                RequestReceived,
                StreamStarted,
                AttemptEnded,
                ProgressReported,
                ClientDisconnected,
                HealthCheckEnded,
                TimerFired,
                QuotasChanged,
                EngineVerdictsChanged {}
