package sandpaddle.fleet.content;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import sandpaddle.fleet.wire.CborIn;
import sandpaddle.fleet.wire.CborOut;

/**
 * The key of a cached result: tenant, user, name of the request class, and the bytes of the statement. Keys are equal
 * only if all four are; a result is never served on the hash alone. Immutable.
 */
public final class CacheKey {
    /** Maximum length of a name in bytes of UTF-8. */
    public static final int MAX_NAME_BYTES = 256;

    /** Maximum length of a statement in bytes. */
    public static final int MAX_STATEMENT_BYTES = 256 * 1024;

    /** Estimated size in memory of the objects of one key, without the contents of its fields. */
    private static final int OBJECT_OVERHEAD_BYTES = 200;

    private final String tenant;
    private final String user;
    private final String className;
    private final byte[] statement;
    private final ResultId id;

    /**
     * Creates a key and computes its hash.
     *
     * @param tenant name of the tenant
     * @param user name of the user
     * @param className name of the request class
     * @param statement bytes of the statement, which are copied
     */
    public CacheKey(String tenant, String user, String className, byte[] statement) {
        this.tenant = tenant;
        this.user = user;
        this.className = className;
        this.statement = statement.clone();
        id = hash();
    }

    /** Hashes each field with its length before it, so that different keys never yield the same input. */
    private ResultId hash() {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            for (byte[] field : new byte[][] {utf8(tenant), utf8(user), utf8(className), statement}) {
                sha256.update(ByteBuffer.allocate(4).putInt(field.length).array());
                sha256.update(field);
            }
            return ResultId.of(sha256.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has SHA-256
        }
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns whether the key is within the bounds of {@link #read}; results of other keys are not cached. */
    public boolean isStorable() {
        return isValidName(tenant)
                && isValidName(user)
                && isValidName(className)
                && statement.length <= MAX_STATEMENT_BYTES;
    }

    /**
     * Rejects a name with an unpaired surrogate: UTF-8 cannot encode it, and names that differ only in one would yield
     * the same bytes.
     */
    private static boolean isValidName(String text) {
        return utf8(text).length <= MAX_NAME_BYTES
                && StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }

    /** Returns the name of the tenant. */
    public String tenant() {
        return tenant;
    }

    /** Returns the name of the user. */
    public String user() {
        return user;
    }

    /** Returns the name of the request class. */
    public String className() {
        return className;
    }

    /** Returns a copy of the bytes of the statement. */
    public byte[] statement() {
        return statement.clone();
    }

    /** Returns the hash of the key. */
    public ResultId id() {
        return id;
    }

    /** Returns the estimated size in memory in bytes. */
    public int memoryBytes() {
        return statement.length + 2 * (tenant.length() + user.length() + className.length()) + OBJECT_OVERHEAD_BYTES;
    }

    /** Writes the key as part of a message. */
    public void write(CborOut out) {
        out.text(tenant).text(user).text(className).bytes(statement);
    }

    /** Reads a key that {@link #write} wrote, with a check of every bound. */
    public static CacheKey read(CborIn in) throws CborIn.FaultyMessageException {
        return new CacheKey(name(in), name(in), name(in), in.bytes(MAX_STATEMENT_BYTES));
    }

    private static String name(CborIn in) throws CborIn.FaultyMessageException {
        String text = in.text(MAX_NAME_BYTES);
        if (!isValidName(text)) {
            throw in.wrong("is a name that UTF-8 cannot encode");
        }
        return text;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof CacheKey other
                && id.equals(other.id)
                && tenant.equals(other.tenant)
                && user.equals(other.user)
                && className.equals(other.className)
                && Arrays.equals(statement, other.statement);
    }

    @Override
    public int hashCode() {
        return id.hashCode();
    }
}
