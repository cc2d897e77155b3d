package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of what was sent, answered and run; each line begins with its time in ms. */
final class Record {
  private static PrintWriter out;

  private Record() {}

  static synchronized void open(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  static synchronized void write(String format, Object... values) {
    String line = String.format("%6d ", Threads.now()) + String.format(format, values);
    out.println(line);
    out.flush();
  }

  /** Writes a line to the record and to standard output. */
  static void tell(String format, Object... values) {
    write(format, values);
    System.out.println(String.format(format, values));
  }
}
