/** Immutable domain objects: regions, failure domains, instances, endpoints, services, tiers and contracts. */
package org.cowslippick.core.world;
