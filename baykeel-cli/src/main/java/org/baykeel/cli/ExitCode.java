package org.baykeel.cli;

/** The exit codes of the command line; docs/OPERATIONS.md lists them. */
final class ExitCode {
  static final int OK = 0;

  /** The command ran and its result is a failure, such as a refused plan. */
  static final int FAILED = 1;

  /** The words of the command are off. */
  static final int USAGE = 2;

  /** A file has errors. */
  static final int INVALID_FILE = 3;

  /** No node answered. */
  static final int UNREACHABLE = 4;

  private ExitCode() {}
}
