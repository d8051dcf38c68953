package sandpaddle.fleet.view;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;

/**
 * A reference published by one writing thread to readers on other threads, with release and acquire semantics and
 * without locks: a reader that gets a reference from {@link #current} sees all writes made before its {@link
 * #publish}.
 */
public final class Publication<T> {
    private static final VarHandle VALUE;

    static {
        try {
            VALUE = MethodHandles.lookup().findVarHandle(Publication.class, "value", Object.class);
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    @SuppressWarnings("unused") // accessed by VALUE
    private Object value;

    /** Creates a publication with its first value. */
    public Publication(T first) {
        VALUE.setRelease(this, first);
    }

    /** Replaces the value; by the writing thread only. */
    public void publish(T next) {
        VALUE.setRelease(this, next);
    }

    /** The current value; by any thread. */
    @SuppressWarnings("unchecked")
    public T current() {
        return (T) VALUE.getAcquire(this);
    }
}
