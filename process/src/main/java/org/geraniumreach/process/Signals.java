package org.geraniumreach.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Listens to the signal that asks a process to end.
 *
 * <p>A shutdown hook would not do: the machine runs it once, and a second signal goes unheard, so an operator who wants a
 * long drain cut short could only kill the process, and what was cut would not be logged. The JDK's signal class is outside
 * the standard, so it is reached by name; where it is missing, no signal is heard here and the machine's default holds.
 * Stateless and safe for use by several threads.
 */
public final class Signals {

    private static final String TERMINATE = "TERM";
    private static final String INTERRUPT = "INT";
    private static final String HANGUP = "HUP";

    private Signals() {}

    /**
     * Runs an action at each signal that asks the process to end.
     *
     * @param action the action, run by a thread of the JDK's, not null
     * @return true if signals are heard
     */
    public static boolean onEnd(Runnable action) {
        return handle(TERMINATE, action) && handle(INTERRUPT, action);
    }

    /**
     * Runs an action at each signal that says that the settings have changed.
     *
     * @param action the action, run by a thread of the JDK's, not null
     * @return true if the signal is heard
     */
    public static boolean onReload(Runnable action) {
        return handle(HANGUP, action);
    }

    private static boolean handle(String name, Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocation = (proxy, method, arguments) -> {
                if (method.getDeclaringClass() == Object.class) {
                    return method.invoke(action, arguments);
                }
                action.run();
                return null;
            };
            Object handler =
                    Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handlerType}, invocation);
            Object signal = signalType.getConstructor(String.class).newInstance(name);
            signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
            return true;
        } catch (ReflectiveOperationException unsupported) {
            return false;
        }
    }
}
