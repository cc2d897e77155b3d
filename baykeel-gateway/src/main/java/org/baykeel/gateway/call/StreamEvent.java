package org.baykeel.gateway.call;

/**
 * A complete event of a stream.
 *
 * @param bytes the event as the engine sent it, with its closing blank line
 * @param id its number; {@link CallAttributes#ABSENT} if it has none
 * @param data its data without field names, lines joined by line feeds; null if it has none
 */
@SuppressWarnings("ArrayRecordComponent")
public record StreamEvent(byte[] bytes, long id, byte[] data) {}
