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
                writer.text(message.report.request().value());
                writer.text(message.report.endpoint().value());
                writer.constant(message.report.phase());
                writer.number(message.report.timeToFirstTokenNanos());
                writer.number(message.report.betweenTokensNanos());
                writer.number(message.report.answerTokens());
                writer.flag(message.report.retryWanted());
            },
            reader -> new Report(
                    DescriptorCodec.decodePool(reader),
                    new DispatchReport(
                            new RequestId(reader.text()),
                            new EndpointName(reader.text()),
                            reader.constant(DispatchPhase.class),
                            reader.number(),
                            reader.number(),
                            reader.integer(),
                            reader.flag())));
}
