package org.baykeel.bench.trace;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.yaml.YamlProblem;
import org.baykeel.core.yaml.YamlReader;
import org.baykeel.core.yaml.YamlSection;

/**
 * The outcomes stated beside a trace.
 *
 * @param programs programs, sub-agents included
 * @param completed programs that run to their end
 * @param modelCalls model calls answered
 * @param toolCalls tool calls answered
 * @param nonRepeatableRuns runs of operations that must not be repeated
 */
public record TraceOutcomes(
    int programs, int completed, int modelCalls, int toolCalls, int nonRepeatableRuns) {

  /** Reads stated outcomes. */
  public static TraceOutcomes parse(String file, String text) {
    List<YamlProblem> problems = new ArrayList<>();
    YamlSection section =
        new YamlSection(file, "", YamlReader.read(file, text, problems), problems);
    TraceOutcomes outcomes =
        new TraceOutcomes(
            (int) section.requiredNumber("programs", 0, Integer.MAX_VALUE),
            (int) section.requiredNumber("completed", 0, Integer.MAX_VALUE),
            (int) section.requiredNumber("modelCalls", 0, Integer.MAX_VALUE),
            (int) section.requiredNumber("toolCalls", 0, Integer.MAX_VALUE),
            (int) section.requiredNumber("nonRepeatableRuns", 0, Integer.MAX_VALUE));
    section.rejectUnknownKeys();
    if (!problems.isEmpty()) {
      throw new BaykeelException(ErrorKind.INVALID_REQUEST, problems.get(0).toString());
    }
    return outcomes;
  }

  /** The outcomes as YAML. */
  public String yaml() {
    return "programs: "
        + programs
        + "\ncompleted: "
        + completed
        + "\nmodelCalls: "
        + modelCalls
        + "\ntoolCalls: "
        + toolCalls
        + "\nnonRepeatableRuns: "
        + nonRepeatableRuns
        + "\n";
  }
}
