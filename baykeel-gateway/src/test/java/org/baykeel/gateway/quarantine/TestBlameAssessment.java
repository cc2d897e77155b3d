package org.baykeel.gateway.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.program.RequestFingerprint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a request that is not found to be fatal after three engines have ended under it,
 * and against one that is found to be although something else made the engines end. An end is
 * written as its time in milliseconds and the requests that the engine was running, one letter
 * each.
 */
class TestBlameAssessment {

  private static BlameAssessment assess(String ends) {
    List<EngineEnd> parsed = new ArrayList<>();
    for (String end : ends.split(" ")) {
      String[] parts = end.split(":", -1);
      EngineIncarnation engine = new EngineIncarnation(new EngineId("e" + parsed.size()), 0);
      EngineEnd added = new EngineEnd(engine, Long.parseLong(parts[0]) * 1_000_000);
      added.add(parts[1].chars().mapToObj(TestBlameAssessment::request).toList());
      parsed.add(added);
    }
    return new BlameAssessment(parsed);
  }

  private static RequestFingerprint request(int letter) {
    return new RequestFingerprint(letter);
  }

  private static String fatal(BlameAssessment assessment) {
    Set<RequestFingerprint> sorted = new TreeSet<>(assessment.fatal());
    return sorted.stream()
        .map(request -> Character.toString((int) request.value()))
        .collect(Collectors.joining());
  }

  @ParameterizedTest(name = "{0}: {2}")
  @CsvSource({
    "two ends, 0:a 200:a, ''",
    "three ends, 0:a 200:a 400:a, a",
    "three ends in quick succession, 0:a 30:a 60:a, a",
    "beside others, 0:abc 200:ade 400:af, a",
    "beside another twice, 0:ab 200:ab 400:a, a",
    "always beside the same other, 0:ab 200:ab 400:ab, ''",
    "apart from it at the fourth end, 0:ab 200:ab 400:ab 600:a, a",
    "beside another twice and at the same moment as it, 0:ab 200:ab 400:a 401:b, ''",
    "tries of five callers at once, 0:a 1:a 2:a 3:a 4:a, a",
    "an unrelated end at the same time, 0:a 200:a 201:x 400:a 600:a, a",
    "three racks, 0:a 1:b 2:c 500:a 501:b 502:c 900:a 901:b 902:c, ''",
    "three racks with idle engines, 0:a 1: 500:a 501: 900:a 901:, ''",
    "two fatal requests apart, 0:a 150:b 300:a 450:b 600:a 750:b, ab",
    "two fatal requests in the same moments, 0:a 1:b 300:a 301:b 600:a 601:b 900:a 901:b, ab",
    "beside three others before the causes are known, 0:ia 150:ib 300:b 450:ic, ''",
    "at two silent engines and at one that ends, 0:xic 200:xidj 350:k 2600:iefghl, ''",
    "alone although other engines end, 0:a 150:x 300:a 450:y 600:a, a",
    "beside another once although other engines end, 0:a 200:ab 350:x 500:a, a",
    "beside three fatal ones in turn, 0:ia 150:a 300:a 450:ib 600:b 750:b 900:ic 1050:c 1200:c, abc",
  })
  void fatalRequestsAreFound(String name, String ends, String fatal) {
    assertEquals(fatal, fatal(assess(ends)));
  }

  @Test
  void endsUnderFatalRequestBlameNoOther() {
    BlameAssessment assessment = assess("0:ab 200:ab 400:a");
    assertEquals(0, assessment.blame(request('b')));
    assertEquals(6, assessment.blame(request('a')));
  }

  @Test
  void blameOfOneMomentIsMarked() {
    BlameAssessment assessment = assess("0:ab 500:b");
    assertEquals(
        List.of(true, false),
        Arrays.asList(
            assessment.isBlamedOnce(request('a')), assessment.isBlamedOnce(request('b'))));
  }
}
