package sandpaddle.mysql;

import static org.testng.Assert.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The work for a statement is bounded for each byte; counted in allocated bytes, which do not depend on the machine.
 */
public class StatementCostTest {
    private static final int TEXT_BYTES = 60_000;
    private static final int MAX_ALLOCATED_PER_BYTE = 16;
    private static final String FIELDS = "route=report,trace=9b1f03aa5c7e2d41,patience=1500";

    private static String fill(String before, String repeated, String after) {
        return before + repeated.repeat((TEXT_BYTES - before.length() - after.length()) / repeated.length()) + after;
    }

    @DataProvider
    public Object[][] texts() {
        return new Object[][] {
            {"empty line comments", fill("", "#\n", "")},
            {"empty line comments before fields", fill("", "--\n", "/* " + FIELDS + " */ SELECT 1")},
            {"empty block comments", fill("", "/**/", "SELECT 1")},
            {"short fields", fill("/*" + FIELDS + ",", "a=1,", "*/ SELECT 1")},
            {"known fields again and again", fill("/*" + FIELDS + ",", "again=0,", "*/ SELECT 1")},
            {"commas", fill("/*" + FIELDS, ",", "*/ SELECT 1")},
            {"short names", fill("/*" + FIELDS + "*/ SELECT ", "a b ", "")},
            {"quoted names", fill("/*" + FIELDS + "*/ SELECT ", "`a`.`b`,", "")},
            {"schemas in table positions", fill("/*" + FIELDS + "*/ SELECT 1 FROM ", "a_b.c,", "")},
            {"staging schemas", fill("/*" + FIELDS + "*/ SELECT 1 FROM ", "staging_1.c,", "")},
            {"keywords", fill("/*" + FIELDS + "*/ SELECT ", "from ", "")},
            {"strings", fill("/*" + FIELDS + "*/ SELECT ", "'',", "")},
            {"comments within", fill("/*" + FIELDS + "*/ SELECT ", "/**/a", "")},
            {"a comment that does not end", fill("/*", "a=1,", "")},
            {"whitespace", fill("", " \n", "")},
            {"SET", fill("SET ", "a ", "")},
        };
    }

    /** Guards the event loop: a statement of 30,000 empty comments took 8 ms, and those of a crowd all of its time. */
    @Test(dataProvider = "texts")
    public void noFormOfStatementCostsMuchMoreThanItsBytes(String form, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        Statement.parse(bytes); // loads the classes
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        Statement.parse(bytes);
        long allocated = threads.getCurrentThreadAllocatedBytes() - before;
        assertTrue(
                allocated <= (long) MAX_ALLOCATED_PER_BYTE * bytes.length,
                form + ": " + allocated + " bytes allocated for " + bytes.length);
    }
}
