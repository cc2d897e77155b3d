package org.baykeel.gateway.directory;

/**
 * Why an entry in the store names no engine to use.
 *
 * @param engine the engine whose entry it is
 * @param field the field that is at fault; empty if it is the whole entry
 * @param reason what is wrong with it
 */
public record EngineEntryFault(EngineId engine, String field, Reason reason) {

  /** What is wrong with an entry. */
  public enum Reason {
    /** Its bytes are no document. */
    UNREADABLE,
    /** A field that is needed is missing. */
    MISSING,
    /** A field has another type than expected. */
    OTHER_TYPE,
    /** A field has a value that is not known or not possible. */
    OTHER_VALUE
  }
}
