package sandpaddle.decision.action;

/** Output of the decision module, executed by the dispatcher. */
public sealed interface Action
        permits SendAttempt,
                SetAttemptOptions,
                RejectRequest,
                FailRequest,
                CancelAttempt,
                StartHealthCheck,
                ScheduleTimer,
                SubscribeToEngineList,
                LogMessage {}
