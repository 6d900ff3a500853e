package eiderscale.net;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;

/** Handles SIGHUP. Uses {@code sun.misc.Signal} by reflection, as the compiler warns about direct use of that class. */
final class SighupHandler {
    private SighupHandler() {
    }

    /** Makes each SIGHUP run {@code onSighup}, on a thread of the JVM, instead of ending the process. */
    static void install(Runnable onSighup) throws ReflectiveOperationException {
        Class<?> signalClass = Class.forName("sun.misc.Signal");
        Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
        MethodHandle callback = MethodHandles.lookup().bind(onSighup, "run", MethodType.methodType(void.class));
        Object handler = MethodHandleProxies.asInterfaceInstance(handlerClass,
                MethodHandles.dropArguments(callback, 0, signalClass));
        Object sighup = signalClass.getConstructor(String.class).newInstance("HUP");
        signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, sighup, handler);
    }
}
