package org.baykeel.core.message;

/** What a call is sent to. */
public enum CallKind {
  /** A model engine; its answer becomes part of the history. */
  MODEL,
  /** A tool service. */
  TOOL;

  /** The kind with the given ordinal. */
  public static CallKind of(int ordinal) {
    return ordinal == 0 ? MODEL : TOOL;
  }
}
