package sandpaddle.fleet.link.manager;

import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import sandpaddle.fleet.link.LinkSettings;
import sandpaddle.fleet.link.frame.Greeting;
import sandpaddle.fleet.link.frame.RejectionCode;
import sandpaddle.fleet.member.MemberName;

/** Creates and validates greetings. Each rejection states what is wrong and what this gateway expects. */
final class GreetingValidator {
    /** Lowest protocol version that this program supports. */
    static final int MIN_VERSION = 1;

    /** Highest protocol version that this program supports. */
    static final int MAX_VERSION = 1;

    private static final Pattern HOST = Pattern.compile("[A-Za-z0-9._-]{1,253}");

    /** Why a greeting is not accepted. */
    record Rejection(RejectionCode code, String detail) {}

    private final LinkSettings settings;
    private final Predicate<String> isMember;
    private final int minVersion, maxVersion;
    private long sequence;

    GreetingValidator(LinkSettings settings, Predicate<String> isMember, int minVersion, int maxVersion) {
        this.settings = settings;
        this.isMember = isMember;
        this.minVersion = minVersion;
        this.maxVersion = maxVersion;
    }

    boolean isMember(String name) {
        return isMember.test(name);
    }

    /** A greeting of this gateway with the next sequence number. */
    Greeting greeting(String targetName, int fromVersion, int toVersion) {
        return new Greeting(
                fromVersion,
                toVersion,
                settings.cluster(),
                settings.self(),
                targetName,
                settings.incarnation(),
                ++sequence);
    }

    Greeting hello(String targetName) {
        return greeting(targetName, minVersion, maxVersion);
    }

    /** The answer to a greeting that {@link #validateHello} accepted. */
    Greeting welcome(Greeting peerGreeting) {
        int version = Greeting.highestCommonVersion(
                minVersion, maxVersion, peerGreeting.minVersion(), peerGreeting.maxVersion());
        return greeting(peerGreeting.member().name(), version, version);
    }

    /** Validates the first greeting of a peer. */
    Optional<Rejection> validateHello(Greeting greeting) {
        String self = settings.self().name();
        String name = greeting.member().name();
        if (Greeting.highestCommonVersion(minVersion, maxVersion, greeting.minVersion(), greeting.maxVersion()) == 0) {
            return reject(
                    RejectionCode.VERSION,
                    self + " speaks versions " + minVersion + " to " + maxVersion + ", not " + greeting.minVersion()
                            + " to " + greeting.maxVersion());
        }
        if (!greeting.cluster().equals(settings.cluster())) {
            return reject(
                    RejectionCode.CLUSTER,
                    self + " is of cluster " + settings.cluster() + ", not " + printable(greeting.cluster()));
        }
        if (!MemberName.isValid(name) || !MemberName.isValid(greeting.member().zone())) {
            return reject(
                    RejectionCode.NAME,
                    printable(name) + " of hall " + printable(greeting.member().zone()) + " is no valid name");
        }
        if (!HOST.matcher(greeting.member().host()).matches()
                || greeting.member().port() == 0) {
            return reject(
                    RejectionCode.NAME,
                    name + " tells the address " + printable(greeting.member().host()) + ":"
                            + greeting.member().port() + ", which is none");
        }
        if (name.equals(self)) {
            return reject(
                    RejectionCode.NAME, name + " is the name of who was dialled; another process must not have it");
        }
        if (!greeting.targetName().equals(self)) {
            return reject(RejectionCode.NOT_ME, "this is " + self + ", not " + printable(greeting.targetName()));
        }
        return isMember.test(name)
                ? Optional.empty()
                : reject(RejectionCode.NAME, name + " is no member of cluster " + settings.cluster());
    }

    /** Validates the answer of a peer that this gateway connected to. */
    Optional<Rejection> validateWelcome(Greeting greeting, String expectedName) {
        if (greeting.minVersion() != greeting.maxVersion()
                || greeting.minVersion() < minVersion
                || greeting.minVersion() > maxVersion) {
            return reject(
                    RejectionCode.VERSION,
                    expectedName + " chose version " + greeting.minVersion() + ", not one from " + minVersion + " to "
                            + maxVersion);
        }
        if (!greeting.cluster().equals(settings.cluster())) {
            return reject(
                    RejectionCode.CLUSTER,
                    "cluster " + settings.cluster() + " was looked for, " + printable(greeting.cluster())
                            + " answered");
        }
        return greeting.member().name().equals(expectedName)
                        && MemberName.isValid(greeting.member().zone())
                ? Optional.empty()
                : reject(
                        RejectionCode.NOT_ME,
                        expectedName + " was looked for, "
                                + printable(greeting.member().name()) + " of hall "
                                + printable(greeting.member().zone()) + " answered");
    }

    private static Optional<Rejection> reject(RejectionCode code, String detail) {
        return Optional.of(new Rejection(code, detail));
    }

    /** Text of a peer, shortened and with printable characters only, for log lines. */
    static String printable(String text) {
        String shortened =
                text.length() > MemberName.MAX_CHARS ? text.substring(0, MemberName.MAX_CHARS) + "..." : text;
        return shortened.replaceAll("[^ -~]", "?");
    }
}
