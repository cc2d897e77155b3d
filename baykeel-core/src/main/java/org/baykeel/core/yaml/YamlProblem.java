package org.baykeel.core.yaml;

/**
 * One error in a YAML file.
 *
 * @param file the file's name
 * @param line the line, from 1
 * @param key the key's path, such as {@code engines[2].zone}
 * @param message what is wrong and what is allowed
 */
public record YamlProblem(String file, int line, String key, String message) {
  @Override
  public String toString() {
    return file + ":" + line + ": " + (key.isEmpty() ? "" : key + ": ") + message;
  }
}
