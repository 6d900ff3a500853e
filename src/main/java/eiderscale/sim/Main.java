package eiderscale.sim;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/**
 * Runs the decision module under a simulator: event frames on standard input, reply frames on standard output, error
 * messages on standard error.
 */
public final class Main {
    private static final int INPUT_BUFFER_BYTES = 1 << 16;

    private Main() {
    }

    /** Exits with 0 if the input ends between two frames, with 1 on malformed input, I/O errors or wrong usage. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("eiderscale: usage: java -jar eiderscale.jar adapter");
            System.exit(1);
        }
        InputStream input = new BufferedInputStream(new FileInputStream(FileDescriptor.in), INPUT_BUFFER_BYTES);
        int exitStatus = serve(input, new FileOutputStream(FileDescriptor.out), System.err);
        if (exitStatus != 0) {
            System.exit(exitStatus);
        }
    }

    /** Runs the adapter until the input ends; returns the exit status and reports a failure on {@code errors}. */
    static int serve(InputStream input, OutputStream output, PrintStream errors) {
        try {
            new Adapter(input, output).run();
            return 0;
        } catch (MalformedInputException e) {
            errors.println("eiderscale: malformed input: " + e.getMessage());
        } catch (IOException e) {
            errors.println("eiderscale: cannot read or write the wire: " + e.getMessage());
        }
        return 1;
    }
}
