package org.baykeel.gateway.directory;

/**
 * Why an entry in the store is not a valid engine record.
 *
 * @param engine the engine of the entry
 * @param field the faulty field; empty if the whole entry is faulty
 * @param reason the kind of fault
 */
public record EngineEntryFault(EngineId engine, String field, Reason reason) {

  /** The kind of fault of an entry. */
  public enum Reason {
    /** The bytes are not a valid document. */
    UNREADABLE,
    /** A required field is missing. */
    MISSING,
    /** A field has an unexpected type. */
    OTHER_TYPE,
    /** A field has an unknown or impossible value. */
    OTHER_VALUE
  }
}
