package org.baykeel.cli;

/** The exit codes of the command line; docs/OPERATIONS.md lists them. */
final class ExitCode {
  static final int OK = 0;

  /** The command ran but failed, for example because a node refused a plan. */
  static final int FAILED = 1;

  /** The command line is invalid: an unknown command, option or argument. */
  static final int USAGE = 2;

  /** A settings file or a declaration file has errors. */
  static final int INVALID_FILE = 3;

  /** The node did not respond. */
  static final int UNREACHABLE = 4;

  private ExitCode() {}
}
