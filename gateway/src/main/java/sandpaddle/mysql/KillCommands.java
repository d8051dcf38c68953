package sandpaddle.mysql;

import java.util.ArrayDeque;
import org.tinylog.Logger;

/**
 * Executes KILL commands one after the other. Executing one reads the input of the session that it names, which may
 * contain a KILL in turn. That one waits until the first is done, so that the depth of calls does not depend on what
 * clients send.
 *
 * <p>Confined to the event loop's thread.
 */
final class KillCommands {
    /** A KILL that waits; at most one of each session, which accepts no further command until it is executed. */
    private record PendingKill(Session killer, Statement.Kill command) {}

    private final SessionRegistry sessions;
    private final ArrayDeque<PendingKill> pending = new ArrayDeque<>();
    private boolean executing;

    KillCommands(SessionRegistry sessions) {
        this.sessions = sessions;
    }

    /** Executes a KILL of a session: within this call, or within the call that executes another one. */
    void submit(Session killer, Statement.Kill command) {
        killer.startKill();
        pending.add(new PendingKill(killer, command));
        if (executing) {
            return;
        }
        executing = true;
        while (!pending.isEmpty()) {
            executeGuarded(pending.remove());
        }
        executing = false;
    }

    /** An exception ends only the session whose KILL caused it. */
    private void executeGuarded(PendingKill kill) {
        try {
            execute(kill.killer, kill.command);
        } catch (RuntimeException e) {
            Logger.error(e, "unexpected exception in a KILL");
            kill.killer.end();
        }
    }

    private void execute(Session killer, Statement.Kill command) {
        Session other = sessions.get(command.connectionId());
        if (other == null) {
            killer.finishKill(
                    ServerPackets.error(1, SqlError.ER_NO_SUCH_THREAD, "Unknown thread id: " + command.connectionId()));
        } else if (other == killer) {
            killOwnSession(killer, command);
        } else {
            other.readInput(); // the query to kill may have arrived already without having been read
            if (command.queryOnly()) {
                other.interruptQuery();
            } else {
                other.cancelQuery();
                other.end();
            }
            killer.finishKill(ServerPackets.ok(1));
        }
    }

    /** Its input is not read: what it contains was sent after the KILL. */
    private static void killOwnSession(Session session, Statement.Kill command) {
        if (command.queryOnly()) {
            session.finishKill(ServerPackets.ok(1));
        } else {
            session.end(ServerPackets.ok(1));
        }
    }
}
