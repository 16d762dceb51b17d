package org.cowslippick.entry.door;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import org.cowslippick.core.request.Receipt;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.entry.endpoint.Json;

/** The dialects in which a caller can read an answer. */
enum AnswerFormat {
    /** The answers of {@code POST /v1/services/SERVICE/requests}. */
    NATIVE {
        @Override
        String whole(RequestId request, String text, Receipt receipt) {
            return Json.write(answer(request, JsonNodeFactory.instance.textNode(text), receipt));
        }

        @Override
        void token(AnswerPublisher publisher, RequestId _request, int offset, String text) {
            publisher.event("token", "{\"offset\":" + offset + ",\"text\":" + Json.write(text) + "}");
        }

        @Override
        void end(AnswerPublisher publisher, RequestId _request, Receipt receipt) {
            publisher.event("receipt", Json.write(ReceiptBody.of(receipt)));
        }
    },
    /** The answers of the OpenAI-style chat route. */
    OPEN_AI {
        @Override
        String whole(RequestId request, String text, Receipt receipt) {
            ObjectNode answer = JsonNodeFactory.instance.objectNode();
            answer.put("id", request.value());
            answer.put("object", "chat.completion");
            ObjectNode choice = answer.putArray("choices").addObject();
            choice.put("index", 0);
            choice.put("finish_reason", "stop");
            choice.putObject("message").put("role", "assistant").put("content", text);
            answer.putRawValue("receipt", receiptValue(receipt));
            return Json.write(answer);
        }

        @Override
        void token(AnswerPublisher publisher, RequestId request, int _offset, String text) {
            publisher.data("{\"id\":" + Json.write(request.value())
                    + ",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":"
                    + Json.write(text) + "},\"finish_reason\":null}]}");
        }

        @Override
        void end(AnswerPublisher publisher, RequestId request, Receipt receipt) {
            publisher.data("{\"id\":" + Json.write(request.value())
                    + ",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},"
                    + "\"finish_reason\":\"stop\"}],\"receipt\":" + Json.write(ReceiptBody.of(receipt)) + "}");
            publisher.data("[DONE]");
        }
    };

    abstract String whole(RequestId request, String text, Receipt receipt);

    abstract void token(AnswerPublisher publisher, RequestId request, int offset, String text);

    abstract void end(AnswerPublisher publisher, RequestId request, Receipt receipt);

    /** The answer of an application call, whose JSON is passed on as it is. */
    static String application(RequestId request, String body, Receipt receipt) {
        return Json.write(
                answer(request, Json.read(body).orElseGet(() -> JsonNodeFactory.instance.textNode(body)), receipt));
    }

    private static ObjectNode answer(RequestId request, JsonNode answer, Receipt receipt) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("request", request.value());
        node.set("answer", answer);
        node.putRawValue("receipt", receiptValue(receipt));
        return node;
    }

    private static RawValue receiptValue(Receipt receipt) {
        return new RawValue(Json.write(ReceiptBody.of(receipt)));
    }
}
