package sandpaddle.fleet.state.machine;

import sandpaddle.fleet.state.ReplicatedState;

/**
 * A part of the {@link FleetStateMachine}.
 *
 * @param tag from 1 to 127; it precedes each command of the part in the log and must never change
 * @param name name of the part in logs
 * @param state the replicated state that the commands are applied to
 */
public record StateMachinePart(byte tag, String name, ReplicatedState state) {
    /** Checks the tag. */
    public StateMachinePart {
        if (tag < 1) {
            throw new IllegalArgumentException("tag " + tag + " of part " + name + " is not from 1 to 127");
        }
    }

    /** Encodes a command of this part for a proposal. */
    public byte[] command(byte[] body) {
        byte[] bytes = new byte[body.length + 1];
        bytes[0] = tag;
        System.arraycopy(body, 0, bytes, 1, body.length);
        return bytes;
    }
}
