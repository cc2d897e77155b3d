package org.baykeel.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.baykeel.core.configuration.DeclarationCodec;
import org.baykeel.core.configuration.DeclarationReader;
import org.baykeel.core.message.Payload;
import org.baykeel.emulator.engine.EngineCosts;
import org.baykeel.emulator.engine.EngineServer;
import org.baykeel.emulator.platform.PlatformServer;
import org.baykeel.emulator.tool.ToolServer;
import org.baykeel.node.NodeProcess;
import org.baykeel.node.settings.ProcessSettings;
import org.baykeel.node.settings.ProcessSettingsReader;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The callers' and operators' interfaces, over HTTP, against one node and the stand-ins. */
class TestCallerContract {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String HOST = "127.0.0.1";
  private static final EventLoopGroup GROUP =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private static final HttpClient CLIENT = HttpClient.newHttpClient();
  private static final int LONG_HEADER = 20_000;
  private static final int LARGE_BODY = 70_000;

  private static NodeProcess node;
  private static String enginePort;
  private static String declarations;

  @BeforeAll
  static void start() throws Exception {
    int platform = new PlatformServer(GROUP).listen(HOST, 0);
    int engine = new EngineServer(GROUP, EngineCosts.DEFAULT, 1).listen(HOST, 0);
    int tool = new ToolServer(GROUP, 5).listen(HOST, 0);
    enginePort = HOST + ":" + engine;
    node = new NodeProcess(settings(platform));
    node.start();
    declarations = declarations(HOST + ":" + tool);
    declare(declarations);
    awaitReady();
  }

  private static ProcessSettings settings(int platform) {
    String settings =
        """
        nodeId: 1
        host: 127.0.0.1
        peerPort: 0
        httpPort: 0
        zone: hall-a
        region: home
        platform: {tableService: "P"}
        shards: {expectedNodes: 1, settleMillis: 0, pollMillis: 50}
        limits: {maximumBodyBytes: 65536}
        """
            .replace("\"P\"", "\"" + HOST + ":" + platform + "\"");
    ProcessSettingsReader.Result read = ProcessSettingsReader.read("node.yaml", settings);
    assertEquals(List.of(), read.problems());
    return read.settings();
  }

  private static String declarations(String tool) {
    String text =
        """
        tenants:
          - {name: one, keySha256: ONE}
          - {name: two, keySha256: TWO}
        models:
          - {name: m, maximumContextTokens: 10000}
          - {name: unserved}
        engines:
          - {name: e, address: "ENGINE", zone: hall-a, models: [m]}
        tools:
          - name: tablet
            addresses: ["TOOL"]
            operations:
              - {name: put, repeatable: false, cost: 1}
              - {name: lookup, repeatable: true, cost: 1}
        programClasses:
          - {name: default, budget: 100000}
          - {name: poor, budget: 10}
          - {name: brief, budget: 100000, turnLimit: 1}
        """;
    return text.replace("ONE", sha256("key-one"))
        .replace("TWO", sha256("key-two"))
        .replace("ENGINE", enginePort)
        .replace("TOOL", tool);
  }

  private static String sha256(String key) {
    return HexFormat.of().formatHex(Payload.of(key).sha256().array());
  }

  private static void declare(String text) throws Exception {
    DeclarationReader.Result result = DeclarationReader.read(Map.of("a.yaml", text));
    assertEquals(List.of(), result.problems());
    String document = DeclarationCodec.encode(result.declarations()).text();
    HttpResponse<String> plan = send("POST", "/operator/plan", document, Map.of());
    assertEquals(200, plan.statusCode(), plan.body());
    HttpResponse<String> accepted = send("POST", "/operator/confirm", plan.body(), Map.of());
    assertEquals(200, accepted.statusCode(), accepted.body());
  }

  private static void awaitReady() throws Exception {
    while (send("GET", "/health/ready", "", Map.of()).statusCode() != 200) {
      Thread.sleep(20);
    }
  }

  @AfterAll
  static void stop() {
    node.close();
    GROUP.shutdownGracefully();
  }

  private static HttpResponse<String> send(
      String method, String path, String body, Map<String, String> headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(
                URI.create("http://" + HOST + ":" + node.address().httpPort() + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    headers.forEach(builder::header);
    return CLIENT.send(builder.build(), HttpResponse.BodyHandlers.ofString());
  }

  private static Map<String, String> key(String key) {
    return Map.of("Authorization", "Bearer " + key);
  }

  private static String createProgram(String programClass) throws Exception {
    String body = "{\"class\":\"" + programClass + "\"}";
    HttpResponse<String> created = send("POST", "/v1/programs", body, key("key-one"));
    assertEquals(201, created.statusCode(), created.body());
    return MAPPER.readTree(created.body()).path("id").asText();
  }

  private static Map<String, String> call(String program, String idempotencyKey) {
    return Map.of(
        "Authorization",
        "Bearer key-one",
        "Baykeel-Program",
        program,
        "Idempotency-Key",
        idempotencyKey);
  }

  private static String chat(String content, boolean stream) {
    return "{\"model\":\"m\",\"max_tokens\":8,\"stream\":"
        + stream
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + content
        + "\"}]}";
  }

  @Test
  void wholeAnswerInOpenAiFormat() throws Exception {
    HttpResponse<String> answer =
        send(
            "POST",
            "/v1/chat/completions",
            chat("hello", false),
            call(createProgram("default"), "a"));
    JsonNode root = MAPPER.readTree(answer.body());
    assertEquals(200, answer.statusCode(), answer.body());
    assertEquals("chat.completion", root.path("object").asText());
    assertEquals(32, root.at("/choices/0/message/content").asText().length());
    assertEquals(8, root.at("/usage/completion_tokens").asInt());
  }

  @Test
  void streamedAnswerEndsWithTheEndMark() throws Exception {
    HttpResponse<String> answer =
        send(
            "POST",
            "/v1/chat/completions",
            chat("hello", true),
            call(createProgram("default"), "a"));
    assertTrue(answer.headers().firstValue("content-type").orElse("").startsWith("text/event"));
    assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
  }

  @Test
  void callWithoutProgramGetsOneOfItsOwn() throws Exception {
    HttpResponse<String> answer =
        send("POST", "/v1/chat/completions", chat("hello", false), key("key-one"));
    assertEquals(200, answer.statusCode(), answer.body());
  }

  @Test
  void historyIsKeptBetweenCalls() throws Exception {
    String program = createProgram("default");
    send("POST", "/v1/chat/completions", chat("first", false), call(program, "1"));
    HttpResponse<String> second =
        send("POST", "/v1/chat/completions", chat("second", false), call(program, "2"));
    int promptTokens = MAPPER.readTree(second.body()).at("/usage/prompt_tokens").asInt();
    assertTrue(promptTokens > 18, "first message, its answer and the second message");
  }

  @Test
  void sameKeyAndBodyGetTheRecordedAnswer() throws Exception {
    String program = createProgram("default");
    String path = "/v1/tools/tablet/put";
    HttpResponse<String> first = send("POST", path, "form", call(program, "k"));
    HttpResponse<String> again = send("POST", path, "form", call(program, "k"));
    assertEquals(200, first.statusCode(), first.body());
    assertEquals(first.body(), again.body());
    HttpResponse<String> described = send("GET", "/v1/programs/" + program, "", key("key-one"));
    assertEquals(1, MAPPER.readTree(described.body()).path("calls").asInt());
  }

  @Test
  void creationWithTheSameKeyIsTheSameProgram() throws Exception {
    Map<String, String> headers =
        Map.of("Authorization", "Bearer key-one", "Idempotency-Key", "creation");
    HttpResponse<String> first = send("POST", "/v1/programs", "{\"class\":\"default\"}", headers);
    HttpResponse<String> again = send("POST", "/v1/programs", "{\"class\":\"default\"}", headers);
    assertEquals(
        MAPPER.readTree(first.body()).path("id"), MAPPER.readTree(again.body()).path("id"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "POST | /v1/chat/completions | {\"model\" | default | 400 | invalid_request",
        "POST | /v1/chat/completions | [] | default | 400 | invalid_request",
        "POST | /v1/chat/completions | {\"model\":\"m\",\"messages\":[]} | default | 400 |"
            + " invalid_request",
        "POST | /v1/chat/completions |"
            + " {\"model\":\"m\",\"max_tokens\":0,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
            + " | default | 400 | invalid_request",
        "POST | /v1/chat/completions |"
            + " {\"model\":\"none\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]} | default |"
            + " 404 | unknown_target",
        "POST | /v1/chat/completions |"
            + " {\"model\":\"unserved\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]} |"
            + " default | 503 | no_backend",
        "POST | /v1/chat/completions |"
            + " {\"model\":\"m\",\"max_tokens\":20000,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
            + " | default | 413 | too_large",
        "POST | /v1/chat/completions |"
            + " {\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]} | poor | 402 |"
            + " budget_exceeded",
        "POST | /v1/tools/tablet/none | x | default | 404 | unknown_target",
        "POST | /v1/tools/none/put | x | default | 404 | unknown_target",
        "GET | /v1/nothing | '' | default | 404 | unknown_resource",
        "PUT | /v1/programs | {} | default | 404 | unknown_resource",
        "POST | /v1/programs | {\"class\":\"none\"} | default | 404 | unknown_target",
        "POST | /v1/programs | {} | default | 400 | invalid_request",
        "GET | /v1/programs/p0-000000000000 | '' | default | 404 | unknown_program",
        "GET | /v1/programs/garbage | '' | default | 404 | unknown_program"
      })
  void badInputGetsItsKind(
      String method, String path, String body, String programClass, int status, String code)
      throws Exception {
    String program = createProgram(programClass);
    HttpResponse<String> answer =
        send(method, path, body.strip(), call(program, "bad" + System.nanoTime()));
    assertKind(status, code, answer);
    assertEquals("not_run", answer.headers().firstValue("baykeel-execution").orElse(""));
  }

  private static void assertKind(int status, String code, HttpResponse<String> answer)
      throws IOException {
    assertEquals(status, answer.statusCode(), answer.body());
    assertEquals(code, MAPPER.readTree(answer.body()).at("/error/code").asText());
  }

  @Test
  void anotherBodyUnderTheSameKeyIsRefused() throws Exception {
    String program = createProgram("default");
    send("POST", "/v1/tools/tablet/put", "form", call(program, "k"));
    HttpResponse<String> other = send("POST", "/v1/tools/tablet/put", "other", call(program, "k"));
    assertKind(422, "key_reused", other);
  }

  @Test
  void programOfAnotherTenantIsUnknown() throws Exception {
    String program = createProgram("default");
    assertKind(404, "unknown_program", send("GET", "/v1/programs/" + program, "", key("key-two")));
    Map<String, String> headers =
        Map.of("Authorization", "Bearer key-two", "Baykeel-Program", program);
    assertKind(404, "unknown_program", send("POST", "/v1/tools/tablet/lookup", "x", headers));
  }

  @Test
  void unknownKeyIsUnauthorized() throws Exception {
    assertKind(401, "unauthorized", send("POST", "/v1/programs", "{}", key("nobody")));
    assertKind(401, "unauthorized", send("POST", "/v1/programs", "{}", Map.of()));
  }

  @Test
  void endedProgramTakesNoCalls() throws Exception {
    String program = createProgram("default");
    assertEquals(200, send("DELETE", "/v1/programs/" + program, "", key("key-one")).statusCode());
    HttpResponse<String> call = send("POST", "/v1/tools/tablet/lookup", "x", call(program, "k"));
    assertKind(409, "program_ended", call);
  }

  @Test
  void turnLimitStopsALoop() throws Exception {
    String program = createProgram("brief");
    send("POST", "/v1/tools/tablet/lookup", "x", call(program, "1"));
    HttpResponse<String> second = send("POST", "/v1/tools/tablet/lookup", "x", call(program, "2"));
    assertKind(409, "turn_limit", second);
  }

  @Test
  void overLongHeadersAndBodiesAreRefused() throws Exception {
    Map<String, String> longHeader =
        Map.of("Authorization", "Bearer key-one", "X-Long", "x".repeat(LONG_HEADER));
    assertLastAnswer(send("GET", "/v1/programs/p0-00", "", longHeader));
    assertLastAnswer(send("POST", "/v1/programs", "x".repeat(LARGE_BODY), key("key-one")));
  }

  /** A connection that the node ends is said to end: a caller must not send on it again. */
  private static void assertLastAnswer(HttpResponse<String> answer) throws IOException {
    assertKind(413, "too_large", answer);
    assertEquals("close", answer.headers().firstValue("Connection").orElse("absent"));
  }

  @Test
  void planIsConfirmedOnceAndRepeatingItIsHarmless() throws Exception {
    String changed = declarations + "  - {name: added" + System.nanoTime() + ", budget: 5}\n";
    DeclarationReader.Result result = DeclarationReader.read(Map.of("a.yaml", changed));
    String document = DeclarationCodec.encode(result.declarations()).text();
    HttpResponse<String> plan = send("POST", "/operator/plan", document, Map.of());
    HttpResponse<String> first = send("POST", "/operator/confirm", plan.body(), Map.of());
    HttpResponse<String> again = send("POST", "/operator/confirm", plan.body(), Map.of());
    assertEquals(200, first.statusCode(), first.body());
    assertEquals(first.body(), again.body());
    declare(declarations);
    assertKind(409, "plan_conflict", send("POST", "/operator/confirm", plan.body(), Map.of()));
  }

  @Test
  void alteredPlanIsRefused() throws Exception {
    String document =
        DeclarationCodec.encode(
                DeclarationReader.read(Map.of("a.yaml", declarations)).declarations())
            .text();
    HttpResponse<String> plan = send("POST", "/operator/plan", document, Map.of());
    String altered = plan.body().replace("\\\"name\\\":\\\"e\\\"", "\\\"name\\\":\\\"x\\\"");
    assertFalse(altered.equals(plan.body()));
    assertKind(400, "invalid_declaration", send("POST", "/operator/confirm", altered, Map.of()));
  }

  @Test
  void nodeWithoutConfigurationIsNotReady() throws Exception {
    NodeProcess fresh = new NodeProcess(settings(new PlatformServer(GROUP).listen(HOST, 0)));
    fresh.start();
    URI uri = URI.create("http://" + HOST + ":" + fresh.address().httpPort() + "/v1/programs");
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri)
            .header("Authorization", "Bearer key-one")
            .POST(HttpRequest.BodyPublishers.ofString("{\"class\":\"default\"}"));
    HttpResponse<String> refused =
        CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
    assertKind(503, "not_ready", refused);
    request.header("Idempotency-Key", "k");
    HttpResponse<String> keyed = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
    assertKind(503, "leader_unreachable", keyed);
    fresh.close();
  }

  @Test
  void metricsAreInPrometheusFormat() throws Exception {
    HttpResponse<String> metrics = send("GET", "/metrics", "", Map.of());
    assertTrue(metrics.body().contains("# TYPE baykeel_led_shards gauge"), metrics.body());
  }
}
