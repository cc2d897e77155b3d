package org.baykeel.cli;

import java.io.IOException;
import java.util.List;
import org.baykeel.bench.demo.Demo;
import org.baykeel.bench.demo.DemoFault;
import org.baykeel.bench.demo.Deployment;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Starts a deployment on this machine, replays its trace and checks the guarantees. */
final class DemoCommand implements Command {
  @Argument(metaVar = "NAME", required = true, usage = "association or freight")
  private String name;

  @Option(name = "--hold", usage = "keep the processes running and print example requests")
  private boolean hold;

  @Option(name = "--fault", usage = "fault to inject during the replay")
  private DemoFault fault = DemoFault.NONE;

  @Override
  public int run() throws IOException, InterruptedException {
    Deployment deployment = Deployment.named(name);
    if (deployment == null) {
      System.err.println("'" + name + "': unknown demo; allowed: association, freight");
      return ExitCode.USAGE;
    }
    return new Demo(deployment, launcher(), System.out, fault).run(hold);
  }

  /** Returns the command line that starts this program in a new process; arguments follow it. */
  static List<String> launcher() {
    String java = ProcessHandle.current().info().command().orElse("java");
    return List.of(
        java,
        "--add-opens",
        "java.base/jdk.internal.misc=ALL-UNNAMED",
        "-XX:+UseSerialGC",
        "-Xmx256m",
        "-cp",
        System.getProperty("java.class.path"),
        BaykeelCommand.class.getName());
  }
}
