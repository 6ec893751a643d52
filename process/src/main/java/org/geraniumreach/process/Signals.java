package org.geraniumreach.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Runs actions on the signals that ask a process to terminate or to reload its settings.
 *
 * <p>A shutdown hook is not sufficient: the JVM runs it once and ignores a second signal, so that an operator could cut short a long
 * drain only by killing the process, without a log of the requests that were cut off. The JDK's signal class is not part of the
 * Java standard and is therefore called by reflection; where it is missing, the JVM's default handling applies.
 * Stateless and safe for use by several threads.
 */
public final class Signals {

    private static final String TERMINATE = "TERM";
    private static final String INTERRUPT = "INT";
    private static final String HANGUP = "HUP";

    private Signals() {}

    /**
     * Runs an action on each signal that asks the process to terminate.
     *
     * @param action the action, run by a thread of the JDK, not null
     * @return whether the signals are handled
     */
    public static boolean onTerminate(Runnable action) {
        return handle(TERMINATE, action) && handle(INTERRUPT, action);
    }

    /**
     * Runs an action on each signal that asks the process to reload its settings.
     *
     * @param action the action, run by a thread of the JDK, not null
     * @return whether the signal is handled
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
