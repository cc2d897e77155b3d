package org.baykeel.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Checks the dependencies between the modules: they form layers without cycles, and code that
 * decides uses no sockets, clocks or processes, so that it stays deterministic.
 */
@AnalyzeClasses(packages = "org.baykeel", importOptions = ImportOption.DoNotIncludeTests.class)
class TestArchitecture {
  @ArchTest
  static final ArchRule MODULES =
      layeredArchitecture()
          .consideringOnlyDependenciesInLayers()
          .layer("protocol")
          .definedBy("org.baykeel.protocol..")
          .layer("core")
          .definedBy("org.baykeel.core..")
          .layer("gateway")
          .definedBy("org.baykeel.gateway..")
          .layer("platform")
          .definedBy("org.baykeel.platform..")
          .layer("node")
          .definedBy("org.baykeel.node..")
          .layer("emulator")
          .definedBy("org.baykeel.emulator..")
          .layer("bench")
          .definedBy("org.baykeel.bench..")
          .layer("cli")
          .definedBy("org.baykeel.cli..")
          .whereLayer("cli")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("bench")
          .mayOnlyBeAccessedByLayers("cli")
          .whereLayer("emulator")
          .mayOnlyBeAccessedByLayers("bench", "cli")
          .whereLayer("platform")
          .mayOnlyBeAccessedByLayers("cli")
          .whereLayer("gateway")
          .mayOnlyBeAccessedByLayers("platform", "node")
          .whereLayer("node")
          .mayOnlyBeAccessedByLayers("emulator", "bench", "cli")
          .whereLayer("core")
          .mayOnlyBeAccessedByLayers("gateway", "platform", "node", "emulator", "bench", "cli")
          .whereLayer("protocol")
          .mayOnlyBeAccessedByLayers("core", "gateway");

  @ArchTest
  static final ArchRule GATEWAY_DECISIONS_HAVE_NO_SOCKET_OR_CLOCK =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.baykeel.gateway.admission..",
              "org.baykeel.gateway.call..",
              "org.baykeel.gateway.budget..",
              "org.baykeel.gateway.history..",
              "org.baykeel.gateway.directory..",
              "org.baykeel.gateway.peer..",
              "org.baykeel.gateway.scheduling..",
              "org.baykeel.gateway.storage..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("io.netty.channel..", "java.net..", "java.nio.channels..")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis");

  @ArchTest
  static final ArchRule GATEWAY_PACKAGES_HAVE_NO_CYCLES =
      slices().matching("org.baykeel.gateway.(*)..").should().beFreeOfCycles();

  @ArchTest
  static final ArchRule CORE_HAS_NO_THREAD_SOCKET_OR_CLOCK =
      noClasses()
          .that()
          .resideInAPackage("org.baykeel.core..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.netty..", "java.net..", "java.nio.channels..", "java.util.concurrent..")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.Thread")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.util.Random")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis");

  @ArchTest
  static final ArchRule NODES_START_NO_PROCESS =
      noClasses()
          .that()
          .resideInAnyPackage("org.baykeel.core..", "org.baykeel.node..")
          .should()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.ProcessBuilder")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.Runtime")
          .orShould()
          .dependOnClassesThat()
          .resideInAPackage("java.nio.file..");
}
