package org.baykeel.core.yaml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Turns YAML text into nodes that keep their line numbers. */
public final class YamlReader {
  private static final YAMLFactory FACTORY = new YAMLFactory();

  private YamlReader() {}

  /**
   * Reads one document.
   *
   * @param problems receives an entry if the text is not YAML or its root is no mapping
   * @return the root, or an empty mapping
   */
  public static YamlNode.Mapping read(String file, String text, List<YamlProblem> problems) {
    try (YAMLParser parser = FACTORY.createParser(text)) {
      if (parser.nextToken() == JsonToken.START_OBJECT) {
        return readMapping(parser, file, "", problems);
      }
      problems.add(new YamlProblem(file, 1, "", "the file must be a mapping of keys to values"));
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
      problems.add(new YamlProblem(file, line, "", "not valid YAML: " + e.getOriginalMessage()));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return new YamlNode.Mapping(1, Map.of());
  }

  private static YamlNode readValue(
      YAMLParser parser, String file, String path, List<YamlProblem> problems) throws IOException {
    JsonToken token = parser.currentToken();
    if (token == JsonToken.START_OBJECT) {
      return readMapping(parser, file, path, problems);
    }
    int line = parser.currentTokenLocation().getLineNr();
    if (token == JsonToken.START_ARRAY) {
      List<YamlNode> items = new ArrayList<>();
      while (parser.nextToken() != JsonToken.END_ARRAY) {
        items.add(readValue(parser, file, path + "[" + items.size() + "]", problems));
      }
      return new YamlNode.Sequence(line, items);
    }
    return new YamlNode.Scalar(line, token == JsonToken.VALUE_NULL ? "" : parser.getText());
  }

  private static YamlNode.Mapping readMapping(
      YAMLParser parser, String file, String path, List<YamlProblem> problems) throws IOException {
    int line = parser.currentTokenLocation().getLineNr();
    Map<String, YamlNode> entries = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = parser.currentName();
      int keyLine = parser.currentTokenLocation().getLineNr();
      String keyPath = path.isEmpty() ? key : path + "." + key;
      parser.nextToken();
      YamlNode value = readValue(parser, file, keyPath, problems);
      if (entries.put(key, value) != null) {
        problems.add(new YamlProblem(file, keyLine, keyPath, "the key stands twice"));
      }
    }
    return new YamlNode.Mapping(line, entries);
  }
}
