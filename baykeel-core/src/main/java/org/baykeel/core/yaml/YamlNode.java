package org.baykeel.core.yaml;

import static java.util.Objects.requireNonNull;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A YAML value that knows the line it came from. */
public sealed interface YamlNode {
  /** The line in its file, from 1. */
  int line();

  /** A single value. */
  record Scalar(int line, String text) implements YamlNode {
    public Scalar {
      requireNonNull(text, "text");
    }
  }

  /** A list of values. */
  record Sequence(int line, List<YamlNode> items) implements YamlNode {
    public Sequence {
      items = List.copyOf(items);
    }
  }

  /** Keys with values, in the file's order. */
  record Mapping(int line, Map<String, YamlNode> entries) implements YamlNode {
    public Mapping {
      entries = new LinkedHashMap<>(entries);
    }
  }
}
