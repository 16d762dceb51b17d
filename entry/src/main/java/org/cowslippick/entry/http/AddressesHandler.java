package org.cowslippick.entry.http;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import org.cowslippick.core.error.Failure;
import org.cowslippick.entry.request.Admission;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Responds with the addresses of the entries that a caller should use for a service. */
final class AddressesHandler implements Handler {

    private final Admission admission;
    private final EntrySelector selector;

    AddressesHandler(Admission admission, EntrySelector selector) {
        this.admission = admission;
        this.selector = selector;
    }

    /** The response body: addresses in order of preference, their validity, and a ticket for idempotency keys. */
    record AddressesBody(ImmutableList<String> addresses, long keepMilliseconds, String ticket) {}

    @Override
    public void handle(Context context) {
        String name = context.getRequest().getQueryParams().get("service");
        Either<Failure, EntrySelector.Selection> selection = admission
                .authenticate(Responses.header(context, "Authorization"))
                .flatMap(organisation -> admission
                        .findService(name == null ? "" : name)
                        .map(service -> selector.select(organisation, service)));
        if (selection.isLeft()) {
            Responses.sendError(context, selection.getLeft());
            return;
        }
        EntrySelector.Selection selected = selection.get();
        Responses.sendJson(
                context,
                200,
                new AddressesBody(
                        selected.addresses().stream().map(Object::toString).collect(ImmutableList.toImmutableList()),
                        selected.validity().toMillis(),
                        selected.ticket()));
    }
}
