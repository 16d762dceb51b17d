package org.cowslippick.fleet.process;

import java.lang.reflect.Proxy;

/**
 * Handlers of signals that the JVM would otherwise take as requests to exit. The JDK offers them only in {@code
 * sun.misc}, which the compiler warns of in each use, so they are reached by reflection.
 */
public final class SignalHandlers {

    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private SignalHandlers() {}

    /**
     * Runs the task on a thread of the JVM at each signal of that name, without the prefix SIG.
     *
     * @throws IllegalStateException if this JVM cannot handle the signal
     */
    @SuppressWarnings("ProxyNonConstantType")
    public static void handle(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName(SIGNAL_CLASS);
            Class<?> handler = Class.forName(HANDLER_CLASS);
            Object taskHandler = Proxy.newProxyInstance(
                    SignalHandlers.class.getClassLoader(), new Class<?>[] {handler}, (_proxy, _method, _arguments) -> {
                        task.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), taskHandler);
        } catch (ReflectiveOperationException failure) {
            throw new IllegalStateException("cannot handle SIG" + name, failure);
        }
    }
}
