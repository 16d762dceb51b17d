package review;

import java.nio.file.Path;

/** Runs one case; exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. */
abstract class Case {

    /** Without the disruption, the case must pass. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    protected final Record record;

    Case(Path folder) throws Exception {
        record = new Record(folder);
    }

    /** Returns whether the rule was broken. */
    abstract boolean isBroken() throws Exception;

    static void run(Case instance) {
        Engine.daemon(() -> {
            try {
                Thread.sleep(115_000);
            } catch (InterruptedException _interrupted) {
                return;
            }
            instance.record.say("the case takes too long");
            System.exit(2);
        });
        try {
            instance.record.say("disruption: %s", TROUBLE ? "yes" : "no (TROUBLE=0)");
            boolean broken = instance.isBroken();
            instance.record.say("result: the rule %s", broken ? "was broken" : "held");
            System.exit(broken ? 1 : 0);
        } catch (Exception failure) {
            instance.record.say("the case couldn't run: %s", failure);
            failure.printStackTrace();
            System.exit(2);
        }
    }
}
