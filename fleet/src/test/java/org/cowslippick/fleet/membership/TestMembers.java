package org.cowslippick.fleet.membership;

import com.google.common.net.HostAndPort;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/** Creates instances and members for tests. */
public final class TestMembers {

    private TestMembers() {}

    public static Instance instance(String name, String region) {
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", 1);
        return new Instance(
                new InstanceName(name), new FailureDomain(region + "-a", new Region(region)), address, address);
    }

    public static Member member(String name, String region, long incarnation) {
        return new Member(instance(name, region), new Incarnation(incarnation), Member.Status.LIVE);
    }
}
