package eiderscale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Limits the length of source files, so that each can be read in one go, and of their lines. */
class SourceSizeLimitsTest {
    /** Most lines of code in a source file; blank lines and comments do not count. */
    private static final int MAX_CODE_LINES = 500;
    /** Longest line in the decision module's files. */
    private static final int MAX_MODULE_COLUMNS = 110;
    /** Longest line in any source file. */
    private static final int MAX_COLUMNS = 120;
    private static final Path SOURCE_DIRECTORY = Path.of("src/main/java/eiderscale");

    /** The files that the deploy file names as the decision module. */
    private static List<Path> deployedModuleFiles() throws IOException {
        String text = Files.readString(Path.of("deploy/balancer.toml"));
        Matcher names = Pattern.compile("\"(src/[^\"]+\\.java)\"").matcher(text);
        List<Path> files = new ArrayList<>();
        while (names.find()) {
            files.add(Path.of(names.group(1)));
        }
        return files;
    }

    @Test
    void sourceFilesStayWithinTheLineLimit() throws IOException {
        try (var files = Files.walk(SOURCE_DIRECTORY)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                int codeLines = countCodeLines(file);
                assertTrue(codeLines > 0 && codeLines <= MAX_CODE_LINES, file + ": number of code lines " + codeLines);
            }
        }
    }

    /** Counts the lines that neither are blank nor begin with a comment or inside one. */
    private static int countCodeLines(Path file) throws IOException {
        int codeLines = 0;
        boolean isInsideComment = false;
        for (String line : Files.readAllLines(file)) {
            String text = line.strip();
            isInsideComment |= text.startsWith("/*");
            if (isInsideComment) {
                isInsideComment = !text.contains("*/");
            } else if (!text.isEmpty() && !text.startsWith("//")) {
                codeLines++;
            }
        }
        return codeLines;
    }

    /** Api.java, which holds the interface, is the only file of the module that the deploy file does not name. */
    @Test
    void deployFileNamesEveryModuleFileExceptApi() throws IOException {
        try (var files = Files.list(SOURCE_DIRECTORY)) {
            List<Path> module = files.filter(f -> f.toString().endsWith(".java")
                    && !f.endsWith("Api.java")).sorted().toList();
            assertEquals(module, deployedModuleFiles().stream().sorted().toList());
        }
    }

    @Test
    void moduleLinesStayWithinTheirColumnLimit() throws IOException {
        List<Path> all = new ArrayList<>(deployedModuleFiles());
        all.add(SOURCE_DIRECTORY.resolve("Api.java"));
        for (Path file : all) {
            assertLinesWithin(file, MAX_MODULE_COLUMNS);
        }
    }

    @Test
    void allLinesStayWithinTheColumnLimit() throws IOException {
        try (var files = Files.walk(SOURCE_DIRECTORY)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                assertLinesWithin(file, MAX_COLUMNS);
            }
        }
    }

    private static void assertLinesWithin(Path file, int maxColumns) throws IOException {
        for (String line : Files.readAllLines(file)) {
            assertFalse(line.length() > maxColumns, file + ": line is too long: " + line);
        }
    }
}
