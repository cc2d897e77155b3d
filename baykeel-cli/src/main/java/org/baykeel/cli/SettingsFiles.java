package org.baykeel.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.baykeel.core.configuration.DeclarationReader;
import org.baykeel.core.configuration.Declarations;
import org.baykeel.core.yaml.YamlProblem;
import org.baykeel.node.settings.ProcessSettings;
import org.baykeel.node.settings.ProcessSettingsReader;

/** Reads settings and declaration files, and prints every error in them to standard error. */
final class SettingsFiles {
  private SettingsFiles() {}

  /** Reads the settings of a node; prints the errors and returns null if the file is invalid. */
  static ProcessSettings readNode(Path file) throws IOException {
    ProcessSettingsReader.Result result =
        ProcessSettingsReader.read(file.getFileName().toString(), Files.readString(file));
    printProblems(result.problems());
    return result.problems().isEmpty() ? result.settings() : null;
  }

  /** Reads the .yaml files of a directory; prints the errors and returns null if any is invalid. */
  static Declarations readDeclarations(Path directory) throws IOException {
    Map<String, String> files = new TreeMap<>();
    try (Stream<Path> paths = Files.list(directory)) {
      for (Path path : paths.filter(item -> item.toString().endsWith(".yaml")).toList()) {
        files.put(path.getFileName().toString(), Files.readString(path));
      }
    }
    DeclarationReader.Result result = DeclarationReader.read(files);
    printProblems(result.problems());
    return result.problems().isEmpty() ? result.declarations() : null;
  }

  static void printProblems(List<YamlProblem> problems) {
    problems.forEach(System.err::println);
  }
}
