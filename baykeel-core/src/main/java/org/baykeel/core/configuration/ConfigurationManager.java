package org.baykeel.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.function.Consumer;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.Payload;
import org.baykeel.core.platform.Platform;
import org.baykeel.core.platform.TableResult;

/**
 * Plans, confirms and adopts configurations.
 *
 * <p>A configuration is accepted by one conditional write to the table service; that write is what
 * racing operators compete for. Once accepted it spreads between the nodes without the store. While
 * the store is down nothing can be accepted, and what was accepted stays in force.
 *
 * <p>Invariant: the version in force on a node only rises.
 */
public final class ConfigurationManager {
  /** The row that holds the accepted configuration. */
  public static final String ROW_KEY = "configuration";

  private static final int CONFIRM_TRIES = 4;

  /** What a change of configuration does to the rest of the node. */
  public interface Listener {
    /** A newer configuration is in force. */
    void adopted(ConfigurationImage image, Payload document);
  }

  /** The outcome of a confirmation. */
  public sealed interface Confirmation {
    /** The plan is accepted under this version. */
    record Accepted(long version) implements Confirmation {}

    /** The plan is not accepted, or it is not known whether it is. */
    record Refused(ErrorKind kind, String detail) implements Confirmation {}
  }

  private final Platform platform;
  private final Listener listener;
  private final int pollMillis;
  private ConfigurationImage image = ConfigurationImage.NONE;
  private Payload document = Payload.EMPTY;
  private List<ConfigurationRow.HistoryEntry> history = List.of();
  private long nextPollMillis;
  private boolean polling;

  /**
   * A manager without configuration.
   *
   * @param pollMillis how often the table service is read, so that an acceptance whose confirming
   *     node died is found
   */
  public ConfigurationManager(Platform platform, Listener listener, int pollMillis) {
    this.platform = requireNonNull(platform, "platform");
    this.listener = requireNonNull(listener, "listener");
    this.pollMillis = pollMillis;
  }

  /** The configuration in force. */
  public ConfigurationImage image() {
    return image;
  }

  /** Its document. */
  public Payload document() {
    return document;
  }

  /** The latest accepted versions that this node has read from the table service. */
  public List<ConfigurationRow.HistoryEntry> history() {
    return history;
  }

  /** Lets time pass. */
  public void tick(long nowMillis) {
    if (polling || nowMillis < nextPollMillis) {
      return;
    }
    polling = true;
    nextPollMillis = nowMillis + pollMillis;
    platform.readRow(ROW_KEY, this::onPolled);
  }

  private void onPolled(TableResult result) {
    polling = false;
    if (result.status() == TableResult.Status.FOUND) {
      adopt(ConfigurationRow.decode(result.value()));
    }
  }

  /** Another node has a configuration; adopted if it is newer. */
  public void onPeerDocument(long version, Payload peerDocument) {
    if (version > image.version()) {
      install(version, peerDocument);
    }
  }

  private void adopt(ConfigurationRow row) {
    if (!row.history().isEmpty()) {
      history = row.history();
    }
    if (row.version() > image.version()) {
      install(row.version(), Payload.of(row.document()));
    }
  }

  private void install(long version, Payload newDocument) {
    Declarations declarations = DeclarationCodec.decode(newDocument);
    image = new ConfigurationImage(version, declarations);
    document = newDocument;
    listener.adopted(image, newDocument);
  }

  /**
   * The plan that leads from the configuration in force to declarations.
   *
   * @throws BaykeelException with {@link ErrorKind#INVALID_DECLARATION} if the text is none
   */
  public ConfigurationPlan plan(Payload declarations) {
    return Planner.plan(image, DeclarationCodec.decode(declarations));
  }

  /**
   * Accepts exactly this plan, or tells why not. Repeating a confirmation is harmless.
   *
   * @param nowMillis time of the request, noted in the history
   */
  public void confirm(ConfigurationPlan plan, long nowMillis, Consumer<Confirmation> callback) {
    boolean intact = DeclarationCodec.digest(plan.documentPayload()).equals(plan.digest());
    if (!intact) {
      callback.accept(
          new Confirmation.Refused(
              ErrorKind.INVALID_DECLARATION, "the plan's digest does not fit its document"));
      return;
    }
    DeclarationCodec.decode(plan.documentPayload());
    readAndAccept(plan, nowMillis, CONFIRM_TRIES, callback);
  }

  private void readAndAccept(
      ConfigurationPlan plan, long nowMillis, int triesLeft, Consumer<Confirmation> callback) {
    if (triesLeft == 0) {
      callback.accept(
          new Confirmation.Refused(
              ErrorKind.STORE_UNAVAILABLE,
              "the table service did not answer; confirm the same plan again to learn the"
                  + " outcome"));
      return;
    }
    platform.readRow(
        ROW_KEY, result -> onReadForAcceptance(result, plan, nowMillis, triesLeft, callback));
  }

  private void onReadForAcceptance(
      TableResult result,
      ConfigurationPlan plan,
      long nowMillis,
      int triesLeft,
      Consumer<Confirmation> callback) {
    if (result.status() == TableResult.Status.UNAVAILABLE) {
      readAndAccept(plan, nowMillis, triesLeft - 1, callback);
      return;
    }
    boolean found = result.status() == TableResult.Status.FOUND;
    ConfigurationRow row = found ? ConfigurationRow.decode(result.value()) : ConfigurationRow.NONE;
    if (row.isAcceptanceOf(plan)) {
      adopt(row);
      callback.accept(new Confirmation.Accepted(row.version()));
      return;
    }
    if (row.version() != plan.baseVersion()) {
      adopt(row);
      callback.accept(
          new Confirmation.Refused(
              ErrorKind.PLAN_CONFLICT,
              "the plan was made against version "
                  + plan.baseVersion()
                  + ", but version "
                  + row.version()
                  + " is accepted; plan again"));
      return;
    }
    ConfigurationRow next = row.accept(plan, nowMillis);
    platform.writeRow(
        ROW_KEY,
        result.version(),
        next.encode(),
        written -> onWritten(written, next, plan, nowMillis, triesLeft, callback));
  }

  /** A conflict or a lost answer is settled by reading: the row tells who won. */
  private void onWritten(
      TableResult written,
      ConfigurationRow next,
      ConfigurationPlan plan,
      long nowMillis,
      int triesLeft,
      Consumer<Confirmation> callback) {
    if (written.status() == TableResult.Status.WRITTEN) {
      adopt(next);
      callback.accept(new Confirmation.Accepted(next.version()));
    } else {
      readAndAccept(plan, nowMillis, triesLeft - 1, callback);
    }
  }
}
