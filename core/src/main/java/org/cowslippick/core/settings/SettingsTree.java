package org.cowslippick.core.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.cowslippick.core.world.Contract;
import org.cowslippick.core.world.DispatchRule;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointKind;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.FencingSupport;
import org.cowslippick.core.world.Link;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.PoolName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.Service;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.Tier;
import org.cowslippick.core.world.TierName;

/**
 * A validated settings tree. An inherited value is resolved from the most specific section to the most general: for
 * the organisation and each of its parents in turn, the sections of service and tier, of service, and of the
 * organisation itself; then the sections of service and tier, service, tier, and the defaults.
 */
public final class SettingsTree {

    public static final SettingsTree EMPTY = new SettingsTree(SettingsDocument.EMPTY);

    private static final ImmutableMap<SettingKey, String> BUILT_IN_DEFAULTS = ImmutableMap.of(
            SettingKey.FIRST_TOKEN, "530ms",
            SettingKey.BETWEEN_TOKENS, "58ms",
            SettingKey.DEADLINE, "60s",
            SettingKey.CROSS_REGION, "no");

    private final SettingsDocument document;
    private final Inheritance inheritance;
    private final ImmutableMap<String, OrganisationName> organisationsByCredential;
    private final ImmutableList<Tier> tiers;
    private final ImmutableList<Service> services;
    private final ImmutableList<Endpoint> endpoints;
    private final ImmutableMap<TierName, Tier> tiersByName;
    private final ImmutableMap<ServiceName, Service> servicesByName;
    private final ImmutableMap<EndpointName, Endpoint> endpointsByName;

    private SettingsTree(SettingsDocument document) {
        this.document = document;
        this.inheritance = new Inheritance(document);
        this.organisationsByCredential = credentials(document);
        this.tiers = sections(SectionKind.TIER).map(SettingsTree::tier).collect(ImmutableList.toImmutableList());
        this.services =
                sections(SectionKind.SERVICE).map(SettingsTree::service).collect(ImmutableList.toImmutableList());
        this.endpoints = sections(SectionKind.ENDPOINT).map(this::endpoint).collect(ImmutableList.toImmutableList());
        this.tiersByName = tiers.stream().collect(ImmutableMap.toImmutableMap(Tier::name, tier -> tier));
        this.endpointsByName =
                endpoints.stream().collect(ImmutableMap.toImmutableMap(Endpoint::name, endpoint -> endpoint));
        this.servicesByName = services.stream().collect(ImmutableMap.toImmutableMap(Service::name, found -> found));
    }

    /** Validates the complete document. Returns either all faults or, if there are none, the tree. */
    public static Either<ImmutableList<SettingsFault>, SettingsTree> of(SettingsDocument document) {
        ImmutableList<SettingsFault> faults = SettingsValidator.validate(document);
        return faults.isEmpty() ? Either.right(new SettingsTree(document)) : Either.left(faults);
    }

    /** Parses and validates INI text. */
    public static Either<ImmutableList<SettingsFault>, SettingsTree> parse(String text) {
        return SettingsDocument.parse(text)
                .flatMap(document -> of(document).mapLeft(faults -> FaultLineLocator.locate(text, faults)));
    }

    /** Returns the hash by which the settings identify a credential. */
    public static String hashCredential(String credential) {
        return Hashing.sha256().hashString(credential, StandardCharsets.UTF_8).toString();
    }

    public SettingsDocument document() {
        return document;
    }

    public ImmutableList<Tier> tiers() {
        return tiers;
    }

    public ImmutableList<Service> services() {
        return services;
    }

    public ImmutableList<Endpoint> endpoints() {
        return endpoints;
    }

    public Optional<Tier> tier(TierName name) {
        return Optional.ofNullable(tiersByName.get(name));
    }

    public Optional<Service> service(ServiceName name) {
        return Optional.ofNullable(servicesByName.get(name));
    }

    public Optional<Endpoint> endpoint(EndpointName name) {
        return Optional.ofNullable(endpointsByName.get(name));
    }

    public Optional<FailureDomain> failureDomain(String name) {
        return inheritance
                .section(SectionName.failureDomain(name))
                .map(section -> new FailureDomain(name, new Region(requiredValue(section, SettingKey.REGION))));
    }

    public ImmutableList<Link> links() {
        return sections(SectionKind.LINK).map(SettingsTree::link).collect(ImmutableList.toImmutableList());
    }

    /** Finds the organisation that the credential of a caller belongs to. */
    public Optional<OrganisationName> organisation(String credential) {
        return Optional.ofNullable(organisationsByCredential.get(hashCredential(credential)));
    }

    /** Whether the credential belongs to an operator. */
    public boolean isOperator(String credential) {
        return inheritance
                .section(SectionName.DEFAULTS)
                .flatMap(section -> section.value(SettingKey.OPERATOR_CREDENTIAL_SHA256))
                .map(SettingType::parseList)
                .filter(hashes -> hashes.contains(hashCredential(credential)))
                .isPresent();
    }

    /** Returns the tiers that an organisation may use for a service, highest priority first, or none. */
    public ImmutableList<Tier> entitledTiers(OrganisationName organisation, ServiceName service) {
        return Inheritance.firstValue(inheritance.sectionsFor(organisation, service), SettingKey.TIERS)
                .map(setting -> SettingType.parseList(setting.value()).stream()
                        .flatMap(name -> tier(new TierName(name)).stream())
                        .sorted(Comparator.comparingInt(Tier::rank))
                        .collect(ImmutableList.toImmutableList()))
                .orElseGet(ImmutableList::of);
    }

    /** Returns the contract of the organisation for the service at the tier. */
    public Contract contract(OrganisationName organisation, Service service, Tier tier) {
        ImmutableList<SettingsSection> inherited = inheritance.sectionsFor(organisation, service.name(), tier.name());
        return new Contract(
                organisation,
                service.name(),
                tier,
                duration(inherited, SettingKey.FIRST_TOKEN),
                duration(inherited, SettingKey.BETWEEN_TOKENS),
                duration(inherited, SettingKey.DEADLINE),
                resolve(inherited, SettingKey.CROSS_REGION)
                        .map(setting -> setting.value().equals("yes"))
                        .orElse(false));
    }

    /** Resolves a value from the most specific section to the most general. */
    public Optional<ResolvedSetting> resolve(
            OrganisationName organisation, ServiceName service, TierName tier, SettingKey key) {
        return resolve(inheritance.sectionsFor(organisation, service, tier), key);
    }

    /**
     * Returns the limits that apply to a request: those of the organisation, of its service, and of the tier of that
     * service. Each scope takes a limit from its own section or from the section of the same kind of the nearest parent
     * organisation, and otherwise from the section that applies to all organisations.
     */
    public ImmutableList<Limits> limits(OrganisationName organisation, ServiceName service, TierName tier) {
        ImmutableList<String> ancestors = inheritance.ancestors(organisation);
        return Stream.of(
                        limits(ancestors, Inheritance::organisation, SectionName.DEFAULTS),
                        limits(
                                ancestors,
                                ancestor -> Inheritance.organisationService(ancestor, service),
                                SectionName.service(service)),
                        limits(
                                ancestors,
                                ancestor -> Inheritance.organisationServiceTier(ancestor, service, tier),
                                SectionName.serviceTier(service, tier)))
                .filter(limits -> !limits.isUnlimited())
                .collect(ImmutableList.toImmutableList());
    }

    private Limits limits(
            ImmutableList<String> ancestors, Function<String, SectionName> sectionOf, SectionName fallback) {
        ImmutableList<SettingsSection> inherited =
                inheritance.existingSections(Stream.concat(ancestors.stream().map(sectionOf), Stream.of(fallback))
                        .toList());
        return new Limits(
                sectionOf.apply(ancestors.get(0)),
                Limits.KEYS.stream()
                        .map(key -> Inheritance.firstValue(inherited, key))
                        .<ResolvedSetting>mapMulti(Optional::ifPresent)
                        .collect(ImmutableList.toImmutableList()));
    }

    private static Optional<ResolvedSetting> resolve(ImmutableList<SettingsSection> inherited, SettingKey key) {
        return Inheritance.firstValue(inherited, key).or(() -> builtInDefault(key));
    }

    private static Optional<ResolvedSetting> builtInDefault(SettingKey key) {
        return Optional.ofNullable(BUILT_IN_DEFAULTS.get(key))
                .map(value -> new ResolvedSetting(key, value, SectionName.DEFAULTS, true));
    }

    private static Duration duration(ImmutableList<SettingsSection> inherited, SettingKey key) {
        return resolve(inherited, key)
                .flatMap(setting -> SettingType.parseDuration(setting.value()))
                .orElseThrow(() -> new IllegalStateException("setting " + key.text() + " has no value"));
    }

    private Stream<SettingsSection> sections(SectionKind kind) {
        return document.sections().values().stream()
                .filter(section -> section.name().kind() == kind);
    }

    private static Tier tier(SettingsSection section) {
        return new Tier(
                new TierName(section.name().names().get(0)),
                Integer.parseInt(requiredValue(section, SettingKey.RANK)),
                Double.parseDouble(requiredValue(section, SettingKey.WEIGHT)));
    }

    private static Service service(SettingsSection section) {
        return new Service(
                new ServiceName(section.name().names().get(0)),
                new PoolName(requiredValue(section, SettingKey.POOL)),
                endpointKind(requiredValue(section, SettingKey.KIND)),
                section.value(SettingKey.MODEL).orElse(""),
                dispatchRule(requiredValue(section, SettingKey.DISPATCH)));
    }

    private Endpoint endpoint(SettingsSection section) {
        return new Endpoint(
                new EndpointName(section.name().names().get(0)),
                new PoolName(requiredValue(section, SettingKey.POOL)),
                endpointKind(requiredValue(section, SettingKey.KIND)),
                failureDomain(requiredValue(section, SettingKey.FAILURE_DOMAIN)).orElseThrow(),
                HostAndPort.fromString(requiredValue(section, SettingKey.ADDRESS)),
                Integer.parseInt(requiredValue(section, SettingKey.CONCURRENCY)),
                section.value(SettingKey.FENCING)
                        .filter(value -> value.equals("checked"))
                        .map(_checked -> FencingSupport.CHECKED)
                        .orElse(FencingSupport.IGNORED));
    }

    private static Link link(SettingsSection section) {
        return new Link(
                new Region(section.name().names().get(0)),
                new Region(section.name().names().get(1)),
                Long.parseLong(requiredValue(section, SettingKey.BYTES_PER_SECOND)),
                section.value(SettingKey.PRICE_PER_GIGABYTE)
                        .map(Double::parseDouble)
                        .orElse(0.0));
    }

    private static EndpointKind endpointKind(String value) {
        return value.equals("model") ? EndpointKind.MODEL : EndpointKind.APPLICATION;
    }

    private static DispatchRule dispatchRule(String value) {
        return switch (value) {
            case "idempotent" -> DispatchRule.IDEMPOTENT;
            case "run-once" -> DispatchRule.RUN_ONCE;
            default -> DispatchRule.DISPATCH_ONCE;
        };
    }

    private static String requiredValue(SettingsSection section, SettingKey key) {
        return section.value(key)
                .orElseThrow(() ->
                        new IllegalStateException("section " + section.name() + " lacks required key " + key.text()));
    }

    private static ImmutableMap<String, OrganisationName> credentials(SettingsDocument document) {
        Map<String, OrganisationName> byCredential = new HashMap<>();
        document.sections().values().stream()
                .filter(section -> section.name().kind() == SectionKind.ORGANISATION)
                .forEach(section -> section.value(SettingKey.CREDENTIAL_SHA256).stream()
                        .flatMap(value -> SettingType.parseList(value).stream())
                        .forEach(hash -> byCredential.put(
                                hash,
                                new OrganisationName(section.name().names().get(0)))));
        return ImmutableMap.copyOf(byCredential);
    }
}
