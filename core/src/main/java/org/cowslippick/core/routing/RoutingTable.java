package org.cowslippick.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.Optional;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.ServiceName;

/** One version of the configuration, indexed for lookups per request. */
public final class RoutingTable {

    /** The table of an instance that has not received a configuration yet. */
    public static final RoutingTable NONE = new RoutingTable(
            -1, ImmutableList.of(), ImmutableList.of(), CallerLimits.DEFAULT, ImmutableMap.of(), ImmutableMap.of());

    private final long version;
    private final ImmutableList<Route> routes;
    private final ImmutableListMultimap<String, Route> routesByHost;
    private final ImmutableMap<ServiceName, RoutedService> services;
    private final CallerLimits limits;
    private final ImmutableMap<String, OrganisationName> credentials;
    private final ImmutableMap<OrganisationName, OrganisationAccess> organisations;

    /** Creates a table; {@code credentials} maps each credential to its organisation. */
    public RoutingTable(
            long version,
            ImmutableList<Route> routes,
            ImmutableList<RoutedService> services,
            CallerLimits limits,
            ImmutableMap<String, OrganisationName> credentials,
            ImmutableMap<OrganisationName, OrganisationAccess> organisations) {
        this.version = version;
        this.routes = routes;
        this.routesByHost = routes.stream()
                .sorted(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed())
                .collect(ImmutableListMultimap.toImmutableListMultimap(Route::host, route -> route));
        this.services = services.stream()
                .collect(ImmutableMap.toImmutableMap(RoutedService::name, service -> service, (_one, other) -> other));
        this.limits = limits;
        this.credentials = credentials;
        this.organisations = organisations;
    }

    public long version() {
        return version;
    }

    /** Whether a configuration has been received. */
    public boolean isKnown() {
        return version >= 0;
    }

    public ImmutableList<Route> routes() {
        return routes;
    }

    public CallerLimits limits() {
        return limits;
    }

    public Optional<RoutedService> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Whether callers need a credential on routes that are not anonymous. */
    public boolean hasOrganisations() {
        return !organisations.isEmpty();
    }

    public ImmutableMap<OrganisationName, OrganisationAccess> organisations() {
        return organisations;
    }

    /** Finds the organisation that the credential belongs to. */
    public Optional<OrganisationAccess> organisation(String credential) {
        return Optional.ofNullable(credentials.get(credential)).map(organisations::get);
    }

    /** Finds the route of the host with the longest matching path prefix. */
    public Optional<Route> match(String host, String path) {
        return routesByHost.get(host).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }
}
