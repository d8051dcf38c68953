package sandpaddle.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.testng.annotations.Test;

public class LoginTest {
    private static byte[] login(int caps, String rest) {
        ByteArrayOutputStream o = new ByteArrayOutputStream();
        o.writeBytes(new byte[] {(byte) caps, (byte) (caps >> 8), (byte) (caps >> 16), 0, 0, 0, 0, 1, 45});
        o.writeBytes(new byte[23]);
        o.writeBytes(rest.getBytes(StandardCharsets.ISO_8859_1));
        return o.toByteArray();
    }

    @Test
    public void allFormsOfAnEmptyPasswordAreRead() throws Exception {
        Login wanted = new Login("app", true, "core");
        assertEquals(Login.parse(login(0x8208, "app\0\0core\0")), wanted);
        assertEquals(Login.parse(login(0x8208, "app\0\1\0core\0plugin\0")), wanted);
        assertEquals(Login.parse(login(0x208, "app\0\0core\0")), wanted);
        assertEquals(Login.parse(login(0x8200, "app\0\0")), new Login("app", true, ""));
        assertEquals(Login.parse(login(0x8208, "app\0\3abccore\0")), new Login("app", false, "core"));
    }

    /** Guards against a length that is written longer than it need be: a length-encoded integer has four forms. */
    @Test
    public void aLengthEncodedPasswordIsReadInAllForms() throws Exception {
        for (String length : new String[] {"\0", "\374\0\0", "\375\0\0\0", "\376\0\0\0\0\0\0\0\0"}) {
            assertEquals(Login.parse(login(0x200208, "app\0" + length + "core\0")), new Login("app", true, "core"));
            String three = length.equals("\0") ? "\3" : length.charAt(0) + "\3" + length.substring(2);
            assertEquals(Login.parse(login(0x208208, "app\0" + three + "abccore\0")), new Login("app", false, "core"));
        }
        String long252 = "\374" + "x".repeat(252); // without the capability, a byte is a length and no mark
        assertEquals(Login.parse(login(0x8208, "app\0" + long252 + "core\0")), new Login("app", false, "core"));
        for (String bad : new String[] {"\373", "\377", "\374\1", "\376\1\0\0\0\0\0\0\200", "\375\377\377\377"}) {
            assertThrows(ProtocolException.class, () -> Login.parse(login(0x200200, "app\0" + bad)));
        }
    }

    /** Guards the loop against a login that is cut anywhere: it is broken framing, never a fault of the program. */
    @Test
    public void aLoginThatIsCutIsBrokenFraming() {
        byte[] whole = login(0x8208, "app\0\24" + "x".repeat(20) + "core\0");
        int read = 0;
        for (int length = 0; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            try {
                assertTrue(!Login.parse(cut).user().isEmpty());
                read++;
            } catch (ProtocolException e) {
                assertTrue(e.error == SqlError.ER_HANDSHAKE_ERROR);
            }
        }
        assertTrue(read <= 10, "read with its password cut: " + read); // no password, or a cut database, can be read
        assertThrows(ProtocolException.class, () -> Login.parse(login(0x8208, "app\0\1")));
    }
}
