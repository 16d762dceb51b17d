package org.cowslippick.fleet.grant;

import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.Priority;
import org.cowslippick.scheduler.pool.DispatchPhase;
import org.cowslippick.scheduler.pool.DispatchReport;

/** Reports the progress or end of a granted attempt. */
record Report(PoolKey pool, DispatchReport report) implements PoolMessage {

    static final MessageType<Report> TYPE = new MessageType<>(
            18,
            Report.class,
            Priority.ESSENTIAL,
            (message, writer) -> {
                DescriptorCodec.encode(message.pool, writer);
                writer.writeString(message.report.request().value());
                writer.writeString(message.report.endpoint().value());
                writer.writeEnum(message.report.phase());
                writer.writeLong(message.report.timeToFirstTokenNanos());
                writer.writeLong(message.report.betweenTokensNanos());
                writer.writeLong(message.report.answerTokens());
                writer.writeBoolean(message.report.retryWanted());
            },
            reader -> new Report(
                    DescriptorCodec.decodePool(reader),
                    new DispatchReport(
                            new RequestId(reader.readString()),
                            new EndpointName(reader.readString()),
                            reader.readEnum(DispatchPhase.class),
                            reader.readLong(),
                            reader.readLong(),
                            reader.readInt(),
                            reader.readBoolean())));
}
