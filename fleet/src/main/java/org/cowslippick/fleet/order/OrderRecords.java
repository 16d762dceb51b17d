package org.cowslippick.fleet.order;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.fleet.platform.ObjectKey;
import org.cowslippick.fleet.platform.Platform;
import org.cowslippick.fleet.platform.PlatformFault;
import org.cowslippick.fleet.platform.StoredObject;

/** Reads and writes order records in the platform. */
final class OrderRecords {

    private static final String KIND = "orders";

    private final Platform platform;

    OrderRecords(Platform platform) {
        this.platform = platform;
    }

    /** A record with the version of its object; both are empty if the endpoint never received an order. */
    record Versioned(OptionalLong version, Optional<OrderRecord> record) {
        boolean isPending() {
            return record.filter(found -> found.phase() == OrderRecord.Phase.PENDING)
                    .isPresent();
        }

        boolean isWrittenBy(String token) {
            return record.filter(found -> found.token().equals(token)).isPresent();
        }
    }

    CompletableFuture<Either<PlatformFault, Versioned>> read(EndpointName endpoint) {
        return platform.get(key(endpoint))
                .thenApply(found -> found.fold(
                        fault -> fault == PlatformFault.NOT_FOUND
                                ? Either.right(new Versioned(OptionalLong.empty(), Optional.empty()))
                                : Either.left(fault),
                        object -> Either.right(
                                new Versioned(OptionalLong.of(object.version()), OrderRecord.read(object.value())))));
    }

    /** Writes the record if the object still has the version, and returns the new version. */
    CompletableFuture<Either<PlatformFault, Long>> write(
            EndpointName endpoint, OptionalLong version, OrderRecord record) {
        CompletableFuture<Either<PlatformFault, StoredObject>> written = version.isPresent()
                ? platform.update(key(endpoint), version.getAsLong(), record.write())
                : platform.create(key(endpoint), record.write());
        return written.thenApply(result -> result.map(StoredObject::version));
    }

    private static ObjectKey key(EndpointName endpoint) {
        return new ObjectKey(KIND, endpoint.value());
    }
}
