package org.baykeel.core.yaml;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Typed access to one mapping. Each access checks the value and notes a problem instead of
 * throwing, so that a file's errors are reported together; {@link #rejectUnknownKeys} comes last.
 */
public final class YamlSection {
  private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");
  private static final Pattern ADDRESS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}");

  private final String file;
  private final String path;
  private final YamlNode.Mapping mapping;
  private final List<YamlProblem> problems;
  private final Set<String> known = new HashSet<>();

  public YamlSection(
      String file, String path, YamlNode.Mapping mapping, List<YamlProblem> problems) {
    this.file = requireNonNull(file, "file");
    this.path = requireNonNull(path, "path");
    this.mapping = requireNonNull(mapping, "mapping");
    this.problems = requireNonNull(problems, "problems");
  }

  /** The line of the section, from 1. */
  public int line() {
    return mapping.line();
  }

  /** The file of the section. */
  public String file() {
    return file;
  }

  /** True if the key is there. */
  public boolean has(String key) {
    known.add(key);
    return mapping.entries().containsKey(key);
  }

  /** Text that must be there and not be empty. */
  public String requiredText(String key) {
    String text = scalar(key, null);
    if (text == null || text.isEmpty()) {
      problem(key, "a text is required");
      return "";
    }
    return text;
  }

  /** Text, or a default. */
  public String text(String key, String defaultValue) {
    String text = scalar(key, defaultValue);
    return text == null ? defaultValue : text;
  }

  /** A name of lower-case letters, digits, dots and hyphens. */
  public String requiredName(String key) {
    String name = requiredText(key);
    if (!name.isEmpty() && !NAME.matcher(name).matches()) {
      problem(key, "'" + name + "' is no name; allowed: a-z 0-9 . - (63 characters at most)");
    }
    return name;
  }

  /** An address of the form IP:PORT. */
  public String requiredAddress(String key) {
    String address = requiredText(key);
    if (!address.isEmpty() && !isAddress(address)) {
      problem(key, "'" + address + "' is no address; allowed: IP:PORT, such as 127.0.0.1:8080");
    }
    return address;
  }

  /** True for text of the form IP:PORT. */
  public static boolean isAddress(String text) {
    return ADDRESS.matcher(text).matches();
  }

  /** A whole number within bounds, or a default. */
  public long number(String key, long defaultValue, long minimum, long maximum) {
    String text = scalar(key, null);
    return text == null ? defaultValue : parse(key, text, defaultValue, minimum, maximum);
  }

  /** A whole number within bounds that must be there. */
  public long requiredNumber(String key, long minimum, long maximum) {
    String text = scalar(key, null);
    if (text == null) {
      problem(key, "a whole number from " + minimum + " to " + maximum + " is required");
      return minimum;
    }
    return parse(key, text, minimum, minimum, maximum);
  }

  private long parse(String key, String text, long fallback, long minimum, long maximum) {
    try {
      long value = Long.parseLong(text);
      if (value >= minimum && value <= maximum) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below, with the same words as a number out of bounds.
    }
    problem(key, "'" + text + "': allowed: a whole number from " + minimum + " to " + maximum);
    return fallback;
  }

  /** True or false that must be there. */
  public boolean requiredFlag(String key) {
    String text = scalar(key, null);
    if (text == null) {
      problem(key, "required; allowed: true, false");
      return false;
    }
    return parseFlag(key, text);
  }

  /** True or false, or a default. */
  public boolean flag(String key, boolean defaultValue) {
    String text = scalar(key, null);
    return text == null ? defaultValue : parseFlag(key, text);
  }

  private boolean parseFlag(String key, String text) {
    if (!text.equals("true") && !text.equals("false")) {
      problem(key, "'" + text + "': allowed: true, false");
    }
    return text.equals("true");
  }

  /** One constant of an enum, written in lower case with hyphens, or a default. */
  public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
    String text = scalar(key, null);
    if (text == null) {
      return defaultValue;
    }
    for (E constant : type.getEnumConstants()) {
      if (spelling(constant).equals(text)) {
        return constant;
      }
    }
    List<String> allowed = Arrays.stream(type.getEnumConstants()).map(this::spelling).toList();
    problem(key, "'" + text + "': allowed: " + String.join(", ", allowed));
    return defaultValue;
  }

  private String spelling(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** A list of texts; empty if the key is missing. */
  public List<String> texts(String key) {
    known.add(key);
    YamlNode node = mapping.entries().get(key);
    List<String> texts = new ArrayList<>();
    if (node instanceof YamlNode.Sequence sequence) {
      for (YamlNode item : sequence.items()) {
        if (item instanceof YamlNode.Scalar scalar) {
          texts.add(scalar.text());
        } else {
          problemAt(item.line(), key, "each item must be a text");
        }
      }
    } else if (node != null) {
      problem(key, "must be a list of texts");
    }
    return texts;
  }

  /** A list of sections; empty if the key is missing. */
  public List<YamlSection> sections(String key) {
    known.add(key);
    YamlNode node = mapping.entries().get(key);
    List<YamlSection> sections = new ArrayList<>();
    if (node instanceof YamlNode.Sequence sequence) {
      for (YamlNode item : sequence.items()) {
        String itemPath = keyPath(key) + "[" + sections.size() + "]";
        if (item instanceof YamlNode.Mapping itemMapping) {
          sections.add(new YamlSection(file, itemPath, itemMapping, problems));
        } else {
          problemAt(item.line(), key, "each item must be a mapping");
        }
      }
    } else if (node != null) {
      problem(key, "must be a list of mappings");
    }
    return sections;
  }

  /** A nested section; empty if the key is missing. */
  public YamlSection section(String key) {
    known.add(key);
    YamlNode node = mapping.entries().get(key);
    if (node instanceof YamlNode.Mapping nested) {
      return new YamlSection(file, keyPath(key), nested, problems);
    }
    if (node != null) {
      problem(key, "must be a mapping");
    }
    return new YamlSection(
        file, keyPath(key), new YamlNode.Mapping(line(), java.util.Map.of()), problems);
  }

  /** Notes a problem for each key that no access has named. */
  public void rejectUnknownKeys() {
    for (var entry : mapping.entries().entrySet()) {
      if (!known.contains(entry.getKey())) {
        List<String> allowed = known.stream().sorted().toList();
        problemAt(
            entry.getValue().line(),
            entry.getKey(),
            "unknown key; allowed: " + String.join(", ", allowed));
      }
    }
  }

  /** Notes a problem with a key's value. */
  public void problem(String key, String message) {
    YamlNode node = mapping.entries().get(key);
    problemAt(node == null ? mapping.line() : node.line(), key, message);
  }

  private void problemAt(int line, String key, String message) {
    problems.add(new YamlProblem(file, line, keyPath(key), message));
  }

  private String keyPath(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  private String scalar(String key, String defaultValue) {
    known.add(key);
    YamlNode node = mapping.entries().get(key);
    if (node instanceof YamlNode.Scalar scalar) {
      return scalar.text();
    }
    if (node != null) {
      problem(key, "must be a single value");
    }
    return defaultValue;
  }
}
