package org.cowslippick.entry.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import org.cowslippick.core.request.Receipt;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.entry.endpoint.Json;

/** The formats in which an answer is written to a caller. */
enum AnswerFormat {
    /** The format of {@code POST /v1/services/SERVICE/requests}. */
    NATIVE {
        @Override
        String completeBody(RequestId request, String text, Receipt receipt) {
            return Json.write(responseNode(request, JsonNodeFactory.instance.textNode(text), receipt));
        }

        @Override
        void publishToken(EventStreamPublisher publisher, RequestId _request, int offset, String text) {
            publisher.publishEvent("token", "{\"offset\":" + offset + ",\"text\":" + Json.write(text) + "}");
        }

        @Override
        void publishEnd(EventStreamPublisher publisher, RequestId _request, Receipt receipt) {
            publisher.publishEvent("receipt", Json.write(ReceiptBody.of(receipt)));
        }
    },
    /** The format of the OpenAI-compatible route for chat completions. */
    OPEN_AI {
        @Override
        String completeBody(RequestId request, String text, Receipt receipt) {
            ObjectNode response = JsonNodeFactory.instance.objectNode();
            response.put("id", request.value());
            response.put("object", "chat.completion");
            ObjectNode choice = response.putArray("choices").addObject();
            choice.put("index", 0);
            choice.put("finish_reason", "stop");
            choice.putObject("message").put("role", "assistant").put("content", text);
            response.putRawValue("receipt", receiptJson(receipt));
            return Json.write(response);
        }

        @Override
        void publishToken(EventStreamPublisher publisher, RequestId request, int _offset, String text) {
            publisher.publishData("{\"id\":" + Json.write(request.value())
                    + ",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":"
                    + Json.write(text) + "},\"finish_reason\":null}]}");
        }

        @Override
        void publishEnd(EventStreamPublisher publisher, RequestId request, Receipt receipt) {
            publisher.publishData("{\"id\":" + Json.write(request.value())
                    + ",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},"
                    + "\"finish_reason\":\"stop\"}],\"receipt\":" + Json.write(ReceiptBody.of(receipt)) + "}");
            publisher.publishData("[DONE]");
        }
    };

    abstract String completeBody(RequestId request, String text, Receipt receipt);

    abstract void publishToken(EventStreamPublisher publisher, RequestId request, int offset, String text);

    abstract void publishEnd(EventStreamPublisher publisher, RequestId request, Receipt receipt);

    /** The response body of an application call; the application's JSON is embedded unchanged. */
    static String applicationBody(RequestId request, String body, Receipt receipt) {
        return Json.write(responseNode(
                request, Json.read(body).orElseGet(() -> JsonNodeFactory.instance.textNode(body)), receipt));
    }

    private static ObjectNode responseNode(RequestId request, JsonNode answer, Receipt receipt) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("request", request.value());
        node.set("answer", answer);
        node.putRawValue("receipt", receiptJson(receipt));
        return node;
    }

    private static RawValue receiptJson(Receipt receipt) {
        return new RawValue(Json.write(ReceiptBody.of(receipt)));
    }
}
