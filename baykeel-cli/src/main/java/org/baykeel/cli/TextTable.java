package org.baykeel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Formats JSON as text: an array as a table, an object as lines of fields with its arrays below.
 */
final class TextTable {
  private TextTable() {}

  static String of(JsonNode root) {
    return root.isArray() ? table(root) : lines(root);
  }

  private static String lines(JsonNode object) {
    StringBuilder text = new StringBuilder();
    StringBuilder tables = new StringBuilder();
    Iterator<Map.Entry<String, JsonNode>> fields = object.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      if (field.getValue().isArray()) {
        tables.append('\n').append(field.getKey()).append(":\n").append(table(field.getValue()));
      } else {
        text.append(String.format("%-24s %s%n", field.getKey(), field.getValue().asText()));
      }
    }
    return text.append(tables).toString();
  }

  private static String table(JsonNode rows) {
    if (rows.isEmpty()) {
      return "(none)\n";
    }
    List<String> columns = new ArrayList<>();
    rows.get(0).fieldNames().forEachRemaining(columns::add);
    StringBuilder text = new StringBuilder();
    List<Integer> widths = columns.stream().map(column -> width(rows, column)).toList();
    for (int i = 0; i < columns.size(); i++) {
      text.append(pad(columns.get(i), widths.get(i)));
    }
    text.append('\n');
    for (JsonNode row : rows) {
      for (int i = 0; i < columns.size(); i++) {
        text.append(pad(row.path(columns.get(i)).asText(), widths.get(i)));
      }
      text.append('\n');
    }
    return text.toString();
  }

  private static int width(JsonNode rows, String column) {
    int width = column.length();
    for (JsonNode row : rows) {
      width = Math.max(width, row.path(column).asText().length());
    }
    return width;
  }

  private static String pad(String text, int width) {
    return text + " ".repeat(width - text.length() + 2);
  }
}
