package org.baykeel.node.settings;

import static java.util.Objects.requireNonNull;

import org.baykeel.core.message.NodeAddress;
import org.baykeel.core.node.NodeSettings;

/**
 * All checked settings of a node process.
 *
 * @param nodeId number of this node, unique in the installation
 * @param address where it listens; port 0 lets the system choose
 * @param platform addresses of the platform's services
 * @param limits limits on callers' input
 * @param log how events are logged
 * @param operatorKeySha256 hexadecimal SHA-256 of the operators' key; empty if none is asked for
 * @param core settings of the node's logic
 */
public record ProcessSettings(
    int nodeId,
    NodeAddress address,
    PlatformAddresses platform,
    InputLimits limits,
    LogSettings log,
    String operatorKeySha256,
    NodeSettings core) {
  public ProcessSettings {
    requireNonNull(address, "address");
    requireNonNull(platform, "platform");
    requireNonNull(limits, "limits");
    requireNonNull(log, "log");
    requireNonNull(operatorKeySha256, "operatorKeySha256");
    requireNonNull(core, "core");
  }

  /**
   * Where the platform is.
   *
   * @param tableService IP:PORT of the table service
   * @param timeoutMillis longest time to wait for an answer
   */
  public record PlatformAddresses(String tableService, int timeoutMillis) {}

  /**
   * Limits on what callers send.
   *
   * @param maximumHeaderBytes longest request line and headers
   * @param maximumBodyBytes longest body
   * @param maximumConnections most connections of callers
   * @param idleMillis a connection without traffic for this long is closed
   * @param requestMillis longest time to receive a whole request
   */
  public record InputLimits(
      int maximumHeaderBytes,
      int maximumBodyBytes,
      int maximumConnections,
      int idleMillis,
      int requestMillis) {}

  /** How events are logged. */
  public record LogSettings(Format format) {
    /** The forms of a log line. */
    public enum Format {
      TEXT,
      JSON
    }
  }
}
