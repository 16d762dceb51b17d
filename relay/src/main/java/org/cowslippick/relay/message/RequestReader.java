package org.cowslippick.relay.message;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.cowslippick.scheduler.prefix.PromptPart;

/** Extracts what the relay needs from a request, and removes hop-by-hop headers from requests and responses. */
public final class RequestReader {

    private static final Splitter COMMA_SPLITTER =
            Splitter.on(',').trimResults().omitEmptyStrings();
    private static final ImmutableSet<String> HOP_BY_HOP_HEADERS = ImmutableSet.of(
            HttpHeaderNames.CONNECTION.toString(),
            "keep-alive",
            "proxy-connection",
            HttpHeaderNames.TE.toString(),
            HttpHeaderNames.TRAILER.toString(),
            HttpHeaderNames.TRANSFER_ENCODING.toString(),
            HttpHeaderNames.UPGRADE.toString(),
            HttpHeaderNames.EXPECT.toString(),
            HttpHeaderNames.CONTENT_LENGTH.toString());

    /** Parts beyond this number, and ids longer than the maximum, are not used for decisions. */
    private static final int MAXIMUM_SHARED_PARTS = 16;

    private static final int MAXIMUM_PART_ID_CHARACTERS = 64;

    /** The HTTP decoder has validated names and values already. */
    private static final DefaultHttpHeadersFactory UNVALIDATED_HEADERS =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    /** Equal on all instances, as a caller may retry at another one. */
    private static final HashFunction FINGERPRINT_HASH = Hashing.murmur3_128();

    /** Equal on all instances, as the owner of a pool compares parts of requests of all. */
    private static final HashFunction PART_ID_HASH = Hashing.murmur3_128();

    private final HeaderNames names;
    private final RequestHeadValidator headValidator;

    public RequestReader(HeaderNames names) {
        this.names = names;
        this.headValidator = new RequestHeadValidator(names.singleRequestHeaders());
    }

    /** Returns why a request with this head must not be read, if there is a reason. */
    public Optional<String> findDefect(HttpRequest head) {
        return headValidator.findDefect(head);
    }

    /** Returns why a request with this end must not be read, if there is a reason. */
    public Optional<String> findDefect(LastHttpContent end) {
        return headValidator.findTrailerDefect(end.trailingHeaders());
    }

    /** Reads a request whose body has been received completely. */
    public CallerRequest read(HttpRequest head, ByteBuf body, long nowNanos) {
        HttpHeaders headers = head.headers();
        String target = head.uri();
        int query = target.indexOf('?');
        List<Long> tokens = parseLongs(headers.get(names.tokenCounts()));
        long prompt = tokens.isEmpty() ? 0 : tokens.get(0);
        long maximumOutput = tokens.size() < 2 ? 0 : tokens.get(1);
        long hint = Optional.ofNullable(headers.get(names.lengthHint()))
                .map(Longs::tryParse)
                .orElse(maximumOutput);
        return new CallerRequest(
                head.method(),
                target,
                forwardedHeaders(headers),
                body,
                hostWithoutPort(headers.get(HttpHeaderNames.HOST, "")),
                query < 0 ? target : target.substring(0, query),
                headers.get(names.attemptId(), ""),
                Optional.ofNullable(headers.get(names.credential())),
                fingerprint(head, body),
                Optional.ofNullable(headers.get(names.remainingTime())).map(Longs::tryParse),
                sharedParts(headers.get(names.promptParts(), "")),
                promptParts(headers.get(names.promptParts(), "")),
                prompt,
                Math.min(hint, maximumOutput),
                resumption(headers),
                tokens.isEmpty() ? -1 : prompt + maximumOutput,
                nowNanos);
    }

    private Optional<StreamResumption> resumption(HttpHeaders headers) {
        return Optional.ofNullable(headers.get(names.lastEvent()))
                .map(lastEvent -> new StreamResumption(headers.get(names.resumedAttempt(), ""), lastEvent));
    }

    private static ImmutableList<String> sharedParts(String promptParts) {
        List<String> parts = COMMA_SPLITTER.splitToList(promptParts);
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .map(RequestReader::partId)
                .filter(id -> !id.isEmpty() && id.length() <= MAXIMUM_PART_ID_CHARACTERS)
                .limit(MAXIMUM_SHARED_PARTS)
                .collect(ImmutableList.toImmutableList());
    }

    /** A part without a valid length ends the list, as those behind it count only with all before them. */
    private static ImmutableList<PromptPart> promptParts(String promptParts) {
        return COMMA_SPLITTER
                .splitToStream(promptParts)
                .limit(PromptPart.MAXIMUM_PARTS)
                .map(RequestReader::promptPart)
                .takeWhile(Optional::isPresent)
                .map(Optional::orElseThrow)
                .collect(ImmutableList.toImmutableList());
    }

    private static Optional<PromptPart> promptPart(String part) {
        String id = partId(part);
        return Optional.ofNullable(Ints.tryParse(part.substring(Math.min(part.length(), id.length() + 1))))
                .filter(tokens -> tokens >= 0 && !id.isEmpty() && id.length() <= MAXIMUM_PART_ID_CHARACTERS)
                .map(tokens ->
                        new PromptPart(PART_ID_HASH.hashUnencodedChars(id).asLong(), tokens));
    }

    private static String partId(String part) {
        int colon = part.indexOf(':');
        return colon < 0 ? part : part.substring(0, colon);
    }

    private long fingerprint(HttpRequest head, ByteBuf body) {
        Hasher hasher = FINGERPRINT_HASH
                .newHasher()
                .putUnencodedChars(head.method().name())
                .putUnencodedChars(head.headers().get(HttpHeaderNames.HOST, ""))
                .putUnencodedChars(head.uri())
                .putUnencodedChars(head.headers().get(names.credential(), ""))
                .putUnencodedChars(head.headers().get(names.tokenCounts(), ""));
        for (ByteBuffer part : body.nioBuffers()) {
            hasher.putBytes(part);
        }
        return hasher.hash().asLong();
    }

    /** The headers of an endpoint's response that are forwarded to the caller. */
    public static HttpHeaders responseHeaders(HttpHeaders headers) {
        HttpHeaders copy = copyWithout(headers, ImmutableSet.of());
        copy.remove(HttpHeaderNames.CONTENT_LENGTH);
        return copy;
    }

    private HttpHeaders forwardedHeaders(HttpHeaders headers) {
        HttpHeaders copy = copyWithout(headers, names.reservedHeaders());
        copy.remove(names.credential());
        return copy;
    }

    private static HttpHeaders copyWithout(HttpHeaders headers, ImmutableSet<String> removed) {
        HttpHeaders copy = UNVALIDATED_HEADERS.newHeaders().add(headers);
        headers.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(COMMA_SPLITTER::splitToStream)
                .forEach(copy::remove);
        HOP_BY_HOP_HEADERS.forEach(copy::remove);
        removed.forEach(copy::remove);
        return copy;
    }

    private static List<Long> parseLongs(String text) {
        if (text == null) {
            return List.of();
        }
        List<Long> numbers =
                COMMA_SPLITTER.splitToStream(text).map(Longs::tryParse).toList();
        return numbers.contains(null) ? List.of() : numbers;
    }

    private static String hostWithoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }
}
