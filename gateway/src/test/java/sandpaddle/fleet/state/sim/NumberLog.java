package sandpaddle.fleet.state.sim;

import java.util.ArrayList;
import java.util.List;
import sandpaddle.fleet.state.ReplicatedState;
import sandpaddle.fleet.state.machine.FleetStateMachine;
import sandpaddle.fleet.state.machine.StateMachinePart;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborIn.FaultyMessageException;
import sandpaddle.fleet.wire.CborOut;

/** Replicated state that records the applied numbers in their order. */
public final class NumberLog implements ReplicatedState {
    public static final FleetStateMachine.ApplyListener FAIL_ON_EXCEPTION = new FleetStateMachine.ApplyListener() {
        @Override
        public void onApplied(long index, StateMachinePart part, byte[] result) {}

        @Override
        public void onInstalled() {}

        @Override
        public void onPartFailed(long index, StateMachinePart part, RuntimeException exception) {
            throw new AssertionError("part " + part.name() + " failed", exception);
        }
    };

    private List<Long> values = new ArrayList<>();

    public List<Long> values() {
        return values;
    }

    public static byte[] add(long value) {
        return new CborOut().number(value).done();
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        try {
            values.add(new CborIn(command).number(Long.MIN_VALUE, Long.MAX_VALUE));
            return new CborOut().number(values.size()).done();
        } catch (FaultyMessageException e) {
            throw new IllegalArgumentException(e);
        }
    }

    @Override
    public byte[] snapshot() {
        return new CborOut().list(values, CborOut::number).done();
    }

    @Override
    public void install(byte[] snapshot) {
        try {
            values = new ArrayList<>(
                    new CborIn(snapshot).list(1_000_000, in -> in.number(Long.MIN_VALUE, Long.MAX_VALUE)));
        } catch (FaultyMessageException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
