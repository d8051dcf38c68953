package sandpaddle.mysql;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** {@link Statement} and {@link SqlScanner}: statements, their fields and their table groups. */
public class StatementTest {
    @DataProvider
    public Object[][] tableGroups() {
        return new Object[][] {
            {"SELECT day FROM sales_17.orders WHERE tag = '3f9c'", 17},
            {"SELECT 'FROM x_4.y', \"a\\\" FROM x_5.y\" FROM sales_17.orders", 17},
            {"SELECT /* FROM x_4.y */ 1 -- FROM x_5.y\n # FROM x_6.y\n FROM `sales_17` . `orders`", 17},
            {"INSERT INTO sales_3.orders SELECT * FROM staging.batch_9", 3},
            {"INSERT INTO staging_4.t SELECT o_5.a FROM staging.b_9.c, sales_21.orders o_5", 21},
            {"SELECT o_5.day FROM a_b_12.orders AS o_5", 12},
            {"SELECT 1 FROM orders", -1},
            {"merge into lake_7.events d using staging.delta s on d.id = s.id when matched then update set n = s.n", 7},
            {"WITH w AS (SELECT * FROM ops_5.visits WHERE tag = 'a') SELECT id, sum(n) FROM w GROUP BY id", 5},
            {"SELECT id -- was: from mart_1.old\nFROM ops_5.visits LIMIT 500", 5},
            {"select a.id, 'from lake_0.decoy' as note\n  from ops_2.orders a", 2},
            {"SELECT 'open FROM sales_17.orders", -1},
        };
    }

    /** The table group steers the choice of an engine; names outside table positions must not affect it. */
    @Test(dataProvider = "tableGroups")
    public void tableGroupIsThatOfTheFirstSchemaInTablePosition(String sql, long group) {
        assertEquals(SqlScanner.tableGroup(sql.getBytes(StandardCharsets.UTF_8)), group);
    }

    @Test
    public void removesOnlyTheFieldComment() {
        String sql = "/* app 7 */ SELECT /* keep */ 'caf\u00e9'  FROM sales_17.orders -- end";
        String fields = "/* route=report,trace=9b1f03aa5c7e2d41,patience=1500,weight=820.5,est_mb=96 */ ";
        var run = (Statement.RunQuery) Statement.parse(
                sql.replace("/* app 7 */ ", "/* app 7 */ " + fields).getBytes(StandardCharsets.UTF_8));
        assertEquals(new String(run.query().statement(), StandardCharsets.UTF_8), sql);
        assertEquals(run.query().estimatedWork(), Duration.ofNanos(820_500_000));
        assertEquals(run.query().memoryMb(), 96.0);
        assertEquals(run.query().timeout(), Duration.ofMillis(1500));
    }

    @DataProvider
    public Object[][] fieldCommentFormats() {
        return new Object[][] {
            {"/* route=report,trace=9b1f03aa5c7e2d41,patience=1500 */ SELECT 1"},
            {"/*route=report,trace=9b1f03aa5c7e2d41,patience=1500*/SELECT 1"},
            {"\r\n\t /* patience = 1500 ,\n trace =9b1f03aa5c7e2d41,route= report\n*/\n\nSELECT 1"},
            {"/* patience=1.5e3,,new=,flag,=x,trace=9b1f03aa5c7e2d41,a=b=c,route=report,*/ SELECT 1"},
            {"-- route=report,trace=9b1f03aa5c7e2d41,patience=1500\nSELECT 1"},
            {"# route=report,trace=9b1f03aa5c7e2d41,patience=+1500.\n SELECT 1"},
        };
    }

    @Test(dataProvider = "fieldCommentFormats")
    public void findsTheFieldCommentInEveryFormat(String sql) {
        var run = (Statement.RunQuery) parse(sql);
        assertEquals(new String(run.query().statement(), StandardCharsets.UTF_8), "SELECT 1");
        assertEquals(run.query().route(), "report");
        assertEquals(run.query().traceId(), "9b1f03aa5c7e2d41");
        assertEquals(run.query().timeout(), Duration.ofMillis(1500));
    }

    /** A comment whose text only resembles the required field must not be taken for the field comment. */
    @Test
    public void keepsCommentWithoutTheRequiredFieldInTheStatement() {
        String other = "/* detour=2,enroute=x */ ";
        var run =
                (Statement.RunQuery) parse(other + "/* route=report,trace=9b1f03aa5c7e2d41,patience=1500 */ SELECT 1");
        assertEquals(new String(run.query().statement(), StandardCharsets.UTF_8), other + "SELECT 1");
        assertEquals(parse(other + "SELECT 1"), new Statement.Malformed("no comment with the field 'route'"));
        assertEquals(
                parse("/* route=report,trace=9b1f03aa5c7e2d41,patience=1500 SELECT 1")
                        .getClass(),
                Statement.Malformed.class);
    }

    @Test
    public void rejectsNumberThatIsNotDecimal() {
        for (String invalid : new String[] {"", "x", "1500d", "0x1p4", "NaN", "Infinity", "-1", "1 500", "1e999"}) {
            assertEquals(
                    parse("/* route=report,trace=9b1f03aa5c7e2d41,patience=" + invalid + " */ SELECT 1")
                            .getClass(),
                    Statement.Malformed.class,
                    invalid);
        }
    }

    /** Guards against one statement that occupies the event loop for longer than its client waits for an error. */
    @Test(timeOut = 3000)
    public void rejectsLongTextThatIsAlmostANumberOrACommand() {
        String fields = "/* route=report,trace=9b1f03aa5c7e2d41,patience=1500,weight=";
        String spaces = " ".repeat(60_000);
        for (String invalid : new String[] {
            fields + "1".repeat(60_000) + "x */ SELECT 1",
            fields + "1".repeat(60_000) + ".".repeat(2) + " */ SELECT 1",
            "KILL 1" + spaces + "x",
            "KILL QUERY 1 ;" + spaces + ";",
            "SHOW WARNINGS" + spaces + "x"
        }) {
            assertEquals(parse(invalid).getClass(), Statement.Malformed.class, invalid.substring(0, 14));
        }
        assertEquals(parse("KILL QUERY 12" + spaces + ";" + spaces), new Statement.Kill(true, 12));
    }

    private static Statement parse(String text) {
        return Statement.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void parsesKillWithItsConnectionId() {
        assertEquals(parse(" kill query 12 ;"), new Statement.Kill(true, 12));
        assertEquals(parse("KILL 3"), new Statement.Kill(false, 3));
        assertEquals(parse("/* by hand */ -- and why\n KILL QUERY 12"), new Statement.Kill(true, 12));
        assertEquals(
                parse("/* route=report,trace=9b1f03aa5c7e2d41,patience=15 */ KILL QUERY 3"),
                new Statement.Kill(true, 3));
    }

    @Test
    public void parsesShowWarningsOnlyWithoutFurtherClauses() {
        assertEquals(parse(" show  Warnings ; "), new Statement.ShowWarnings());
        assertEquals(parse("SHOW WARNINGS LIMIT 1").getClass(), Statement.Malformed.class);
        assertEquals(parse("SHOW WARNINGSX").getClass(), Statement.Malformed.class);
    }

    private static Statement parsedWithCustomer(String customer) {
        return parse("/* route=report,trace=9b1f03aa5c7e2d41,patience=1500,customer=" + customer + " */ SELECT 1");
    }

    /** The customer name enters logs, counters and messages between gateways, so it must be bounded and printable. */
    @Test
    public void acceptsCustomerOfPrintableCharactersUpToTheLimit() {
        for (String customer : new String[] {"", "acme", "acme west=1", "x".repeat(64), "caf\u00e9 \u6771\u4eac"}) {
            assertEquals(
                    ((Statement.RunQuery) parsedWithCustomer(customer)).query().tenant(), customer);
        }
        for (String customer : new String[] {"x".repeat(65), "a\u0001b", "a\nb", "a\u007fb"}) {
            assertEquals(
                    parsedWithCustomer(customer),
                    new Statement.Malformed("field 'customer' is not 1 to 64 printable characters"));
        }
    }
}
