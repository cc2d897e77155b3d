package org.baykeel.node.http;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;
import org.baykeel.core.error.ErrorKind;

/**
 * The body of every error answer, in the form that OpenAI clients read.
 *
 * @param error what went wrong
 */
record ErrorBody(Detail error) {
  /**
   * What went wrong.
   *
   * @param code the kind's name in lower case
   * @param execution whether the request ran
   * @param retry what to do next
   */
  record Detail(
      String message,
      String type,
      String code,
      String execution,
      String retry,
      @JsonProperty("retry_after_ms") int retryAfterMillis) {}

  static ErrorBody of(ErrorKind kind, String detail, int retryAfterMillis) {
    String type = kind.httpStatus() >= 500 ? "server_error" : "invalid_request_error";
    return new ErrorBody(
        new Detail(
            detail,
            type,
            lowerCase(kind),
            lowerCase(kind.execution()),
            lowerCase(kind.retryAdvice()),
            retryAfterMillis));
  }

  static String lowerCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
