package eiderscale.net;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;

/** Hears SIGHUP. The JVM's class for signals is one that the compiler warns of, so it is found by its name. */
final class Hangup {
    private Hangup() {
    }

    /** Runs {@code heard}, on a thread of the JVM's, at every SIGHUP from now on; none ends the program. */
    static void hear(Runnable heard) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        MethodHandle run = MethodHandles.lookup().bind(heard, "run", MethodType.methodType(void.class));
        Object adapted = MethodHandleProxies.asInterfaceInstance(handler,
                MethodHandles.dropArguments(run, 0, signal));
        Object hangup = signal.getConstructor(String.class).newInstance("HUP");
        signal.getMethod("handle", signal, handler).invoke(null, hangup, adapted);
    }
}
