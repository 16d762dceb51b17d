package org.cowslippick.entry.door;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import org.cowslippick.core.error.Failure;
import org.cowslippick.entry.request.Admission;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Tells callers which entries to use for a service. */
final class AddressesHandler implements Handler {

    private final Admission admission;
    private final AddressBook addresses;

    AddressesHandler(Admission admission, AddressBook addresses) {
        this.admission = admission;
        this.addresses = addresses;
    }

    /** The answer: addresses in order of preference, how long to keep them, and a ticket for idempotency keys. */
    record AddressesBody(ImmutableList<String> addresses, long keepMilliseconds, String ticket) {}

    @Override
    public void handle(Context context) {
        String name = context.getRequest().getQueryParams().get("service");
        Either<Failure, AddressBook.Answer> found = admission
                .organisation(Answers.header(context, "Authorization"))
                .flatMap(organisation -> admission
                        .service(name == null ? "" : name)
                        .map(service -> addresses.addresses(organisation, service)));
        if (found.isLeft()) {
            Answers.error(context, found.getLeft());
            return;
        }
        AddressBook.Answer answer = found.get();
        Answers.json(
                context,
                200,
                new AddressesBody(
                        answer.addresses().stream().map(Object::toString).collect(ImmutableList.toImmutableList()),
                        answer.keep().toMillis(),
                        answer.ticket()));
    }
}
