/** The result of a case, as the exit status of its script. */
final class Verdict {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private Verdict() {}

    interface Case {
        /** Returns whether the rule was broken. */
        boolean run() throws Exception;
    }

    static void exit(String record, Case body) {
        int status = NOT_RUN;
        try {
            Record.open(java.nio.file.Path.of(record));
            status = body.run() ? BROKEN : HELD;
        } catch (Exception | Error failure) {
            Record.say("the case could not run: %s", failure);
            failure.printStackTrace();
        }
        Record.say(status == BROKEN ? "BROKEN" : status == HELD ? "HELD" : "NOT RUN");
        System.exit(status);
    }
}
