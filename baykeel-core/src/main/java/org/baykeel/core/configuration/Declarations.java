package org.baykeel.core.configuration;

import java.util.List;

/**
 * What the operators have declared: the content of one configuration version. All lists are sorted
 * by name, so equal declarations give equal documents.
 */
public record Declarations(
    List<Tenant> tenants,
    List<Model> models,
    List<Engine> engines,
    List<Tool> tools,
    List<ProgramClass> programClasses) {
  /** Nothing declared. */
  public static final Declarations EMPTY =
      new Declarations(List.of(), List.of(), List.of(), List.of(), List.of());

  public Declarations {
    tenants = List.copyOf(tenants);
    models = List.copyOf(models);
    engines = List.copyOf(engines);
    tools = List.copyOf(tools);
    programClasses = List.copyOf(programClasses);
  }

  /** Something declared under a name. */
  public sealed interface Declaration {
    /** The name, unique among its kind. */
    String name();
  }

  /**
   * A group of callers.
   *
   * @param keySha256 hexadecimal SHA-256 of the tenant's API key
   * @param maximumPrograms most programs of the tenant under way in one shard
   */
  public record Tenant(String name, String keySha256, int maximumPrograms) implements Declaration {}

  /**
   * A language model.
   *
   * @param promptPrice cost units for each token read
   * @param completionPrice cost units for each token generated
   * @param maximumContextTokens most tokens of prompt and answer together
   */
  public record Model(String name, long promptPrice, long completionPrice, int maximumContextTokens)
      implements Declaration {}

  /** Whether a back end takes new work. */
  public enum BackendState {
    SERVING,
    /** Takes nothing new; what runs is finished. */
    DRAINING
  }

  /**
   * A model engine.
   *
   * @param address IP:PORT of its HTTP interface
   * @param concurrency requests that it runs at a time without queueing
   * @param cacheTokens size of its prefix cache in tokens
   */
  public record Engine(
      String name,
      String address,
      String zone,
      List<String> models,
      int concurrency,
      long cacheTokens,
      BackendState state)
      implements Declaration {
    public Engine {
      models = List.copyOf(models);
    }
  }

  /**
   * A tool service.
   *
   * @param addresses IP:PORT of each of its instances
   */
  public record Tool(
      String name, List<String> addresses, BackendState state, List<Operation> operations)
      implements Declaration {
    public Tool {
      addresses = List.copyOf(addresses);
      operations = List.copyOf(operations);
    }

    /** The operation with a name, or null. */
    public Operation operation(String operationName) {
      for (Operation operation : operations) {
        if (operation.name().equals(operationName)) {
          return operation;
        }
      }
      return null;
    }
  }

  /**
   * One operation of a tool service.
   *
   * @param repeatable false if running it twice does harm; never guessed
   * @param cost cost units for each run
   * @param timeoutMillis longest time to wait for the answer
   */
  public record Operation(String name, boolean repeatable, long cost, int timeoutMillis) {}

  /**
   * A kind of program.
   *
   * @param priority lower numbers go first
   * @param budget most cost units for the program and its sub-agents
   * @param turnLimit most calls
   * @param deadlineMillis how long a call may wait for its dispatch, unless the caller says less
   */
  public record ProgramClass(
      String name, int priority, long budget, int turnLimit, int deadlineMillis)
      implements Declaration {}
}
