package sandpaddle.lab.scale;

import java.util.ArrayList;
import java.util.List;
import sandpaddle.fleet.limit.table.LimitCommandCodec;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.member.Roster;
import sandpaddle.fleet.node.agree.FleetConfig;
import sandpaddle.fleet.state.machine.VersionedDocuments;
import sandpaddle.fleet.verdict.VerdictSettings;

/** Checks a fleet size against the limits of the gateway program. Messages name the constant that sets the limit. */
final class ProgramLimits {
    private static final int MAX_VOTERS = 5;

    private ProgramLimits() {}

    /** One message for each limit that a fleet of this size and configuration exceeds. */
    static List<String> faults(ScalePlan.Size size, FleetConfig agreed) {
        List<String> faults = new ArrayList<>();
        int members = size.gateways() + size.controlMachines();
        check(faults, "members", members, "Roster.MAX_MEMBERS", Roster.MAX_MEMBERS);
        check(
                faults,
                "links of a control machine",
                members - 1,
                "LinkSettings.Bounds.USUAL.accepted",
                LinkSettings.Bounds.DEFAULT.maxAccepted());
        check(faults, "limits", agreed.limits().size(), "LimitCommandCodec.MAX_LIMITS", LimitCommandCodec.MAX_LIMITS);
        check(
                faults,
                "bytes of the agreed text",
                agreed.encode().length(),
                "VersionedDocuments.MAX_TEXT_BYTES",
                VersionedDocuments.MAX_TEXT_BYTES);
        if (size.controlMachines() % 2 == 0 || size.controlMachines() > MAX_VOTERS) {
            faults.add(size.controlMachines() + " control machines; the program supports one, three or five");
        }
        return faults;
    }

    /** One message for each size that the program accepts but silently covers only in part. */
    static List<String> partialCoverage(ScalePlan.Size size) {
        List<String> messages = new ArrayList<>();
        checkPartial(
                messages,
                "engines",
                size.engines(),
                "VerdictSettings.maxEngines",
                VerdictSettings.DEFAULT.maxEngines());
        checkPartial(
                messages,
                "members",
                size.gateways() + size.controlMachines(),
                "VerdictSettings.maxMembers",
                VerdictSettings.DEFAULT.maxMembers());
        return messages;
    }

    private static void checkPartial(
            List<String> messages, String quantity, long configured, String limitName, long maximum) {
        if (configured > maximum) {
            messages.add("verdicts count " + maximum + " of " + configured + " " + quantity + " (" + limitName + ")");
        }
    }

    private static void check(List<String> faults, String quantity, long needed, String limitName, long maximum) {
        if (needed > maximum) {
            faults.add(needed + " " + quantity + " exceed the program's limit " + limitName + " = " + maximum);
        }
    }
}
