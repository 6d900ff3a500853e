package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs {@link SoakScenario} for a range of seeds and fails if an invariant is violated: requests lost, writes executed
 * twice, attempts sent to draining hosts or past their deadlines while system calls fail, configurations are reloaded
 * and balancers are restarted. Prints one line per seed, followed by {@code BROKEN}, the violations and a trace if
 * there are any.
 *
 * <p>{@code -Dsoak.seeds=FIRST-LAST} runs other seeds than CI does, {@code -Dsoak.parallel=N} sets how many run at
 * once, {@code -Dsoak.seconds=N} the duration of each.
 */
class FaultSoakTest {
    private static final String CI_SEEDS = "1-16";
    @TempDir
    private Path directory;

    @Test
    void noRuleIsBrokenWhileSystemCallsFail() throws Exception {
        String[] range = System.getProperty("soak.seeds", CI_SEEDS).split("-");
        ExecutorService executor = Executors.newFixedThreadPool(Integer.getInteger("soak.parallel", 3));
        List<Future<String>> runs = new ArrayList<>();
        for (int seed = Integer.parseInt(range[0]); seed <= Integer.parseInt(range[1]); seed++) {
            SoakScenario scenario = new SoakScenario(seed);
            Path runDirectory = Files.createDirectory(directory.resolve(Integer.toString(seed)));
            runs.add(executor.submit(() -> {
                List<String> violations = scenario.execute(runDirectory);
                System.out.println(scenario.summary() + (violations.isEmpty() ? ""
                        : " BROKEN " + violations + "\n  " + String.join("\n  ", scenario.trace())));
                return violations.isEmpty() ? "" : scenario.summary() + " " + violations;
            }));
        }
        List<String> failures = new ArrayList<>();
        for (Future<String> run : runs) {
            failures.add(run.get());
        }
        executor.shutdown();
        failures.removeIf(String::isEmpty);
        assertEquals(List.of(), failures);
    }
}
