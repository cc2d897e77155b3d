package org.baykeel.emulator;

import static java.util.Objects.requireNonNull;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.baykeel.emulator.engine.EngineServer;
import org.baykeel.emulator.platform.PlatformServer;
import org.baykeel.emulator.tool.ToolServer;

/** Runs the stand-ins that its settings name. */
public final class EmulatorProcess {
  private static final int NETWORK_THREADS = 2;

  private final EmulatorSettings settings;
  private final EventLoopGroup network =
      new MultiThreadIoEventLoopGroup(NETWORK_THREADS, NioIoHandler.newFactory());

  public EmulatorProcess(EmulatorSettings settings) {
    this.settings = requireNonNull(settings, "settings");
  }

  /** Starts all stand-ins. */
  public void start() {
    if (settings.platformPort() >= 0) {
      new PlatformServer(network).listen(settings.host(), settings.platformPort());
    }
    for (EmulatorSettings.EnginePort engine : settings.engines()) {
      new EngineServer(network, settings.costs(), engine.name().hashCode())
          .listen(settings.host(), engine.port());
    }
    for (EmulatorSettings.ToolPort tool : settings.tools()) {
      new ToolServer(network, tool.serviceMillis()).listen(settings.host(), tool.port());
    }
  }

  /** Ends all stand-ins. */
  public void close() {
    network.shutdownGracefully();
  }
}
