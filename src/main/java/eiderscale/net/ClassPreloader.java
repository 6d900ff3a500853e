package eiderscale.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.jar.JarFile;
import java.util.stream.Stream;

/**
 * Loads classes at startup that the JVM would otherwise load on first use. A class whose file cannot be read on first
 * use stays unavailable for good, and most classes that are first used late belong to failure handling.
 */
final class ClassPreloader {
    /** Resource with the library classes that are first used while serving, one name per line. */
    private static final String LIBRARY_CLASSES_FILE = "library-classes.txt";
    private static final String OWN_PACKAGE_PATH = "eiderscale/";
    private static final String CLASS_FILE_SUFFIX = ".class";

    private ClassPreloader() {
    }

    /**
     * Loads the classes of {@link #allClassNames} without initializing them. May be called again after a failure.
     *
     * @throws IOException if the names cannot be read
     * @throws ClassNotFoundException if a class is missing or its file cannot be read
     */
    static void load() throws IOException, ClassNotFoundException {
        ClassLoader loader = ClassPreloader.class.getClassLoader();
        for (String name : allClassNames()) {
            Class.forName(name, false, loader);
        }
    }

    /** Returns the names of the listed library classes and of all classes of this program. */
    static List<String> allClassNames() throws IOException {
        List<String> names = new ArrayList<>(libraryClassNames());
        names.addAll(ownClassNames());
        return names;
    }

    private static List<String> libraryClassNames() throws IOException {
        try (InputStream list = ClassPreloader.class.getResourceAsStream(LIBRARY_CLASSES_FILE)) {
            if (list == null) {
                throw new IOException("missing resource: " + LIBRARY_CLASSES_FILE);
            }
            return new BufferedReader(new InputStreamReader(list, StandardCharsets.UTF_8)).lines().toList();
        }
    }

    private static List<String> ownClassNames() throws IOException {
        Path location = codeLocation();
        if (!Files.isDirectory(location)) {
            try (JarFile jar = new JarFile(location.toFile())) {
                return toClassNames(jar.stream().map(entry -> entry.getName()));
            }
        }
        try (Stream<Path> files = Files.walk(location)) {
            return toClassNames(files.map(file -> location.relativize(file).toString()));
        }
    }

    /** Returns the jar or the directory that this program's classes are loaded from. */
    private static Path codeLocation() throws IOException {
        try {
            return Path.of(ClassPreloader.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        } catch (URISyntaxException e) {
            throw new IOException(e);
        }
    }

    private static List<String> toClassNames(Stream<String> files) {
        return files.filter(file -> file.startsWith(OWN_PACKAGE_PATH) && file.endsWith(CLASS_FILE_SUFFIX))
                .map(file -> file.substring(0, file.length() - CLASS_FILE_SUFFIX.length()).replace('/', '.')).toList();
    }
}
