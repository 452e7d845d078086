"""The role of the shard directory: which server owns each shard, and how balancers look it up."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.balancer import control_memory
from benchmarks.capacity.inputs import DAY_S, PERCENT, Inputs
from benchmarks.capacity.lists import call_cpu_time
from benchmarks.capacity.quantity import Quantity, assumed, derived, specified, total
from benchmarks.capacity.roles import Mechanism, QuantityKind, Role, Row, Status

REPLICAS = specified(3.0, "replicas")
SERVER_INDEX = specified(2.0, "B")  # a server as a 16-bit number
SLOT_CHANGE = specified(8.0, "B")  # slot, server and version


def table_bytes(inputs: Inputs) -> Quantity:
    """Size of a table of all shards, in bytes."""
    return derived(
        "B", lambda count, size: count * size, shard_count(inputs), inputs.assumed("shard_entry_bytes")
    )


def shard_count(inputs: Inputs) -> Quantity:
    """Number of shards in the fleet."""
    return specified(inputs.targets.fleet.shards, "shards")


def memory_as_servers(inputs: Inputs) -> Quantity:
    """Memory of a process that holds every shard in the way it holds servers, in bytes."""
    return control_memory(inputs, inputs.targets.fleet.shards)


def machine_changes_per_s(inputs: Inputs) -> Quantity:
    """Machines that fail or restart, per second."""
    failures = inputs.targets.failures
    return specified((failures.machines_per_day + failures.restarts_per_day) / DAY_S, "/s")


def shard_moves(inputs: Inputs, servers: int) -> Quantity:
    """Shards that change owner per second if all changing machines are servers that lose their shards."""
    shards_per_server = derived(
        "shards", lambda count, servers_: count / servers_, shard_count(inputs), assumed(servers, "servers")
    )
    return derived("/s", lambda rate, count: rate * count, machine_changes_per_s(inputs), shards_per_server)


def zone_moves(inputs: Inputs) -> Quantity:
    """Shards per second that must be announced after the loss of a zone to meet the change deadline."""
    return derived(
        "/s",
        lambda count, zones, deadline: count / zones / deadline,
        shard_count(inputs),
        inputs.zones,
        inputs.change_deadline,
    )


def lookup_bytes(inputs: Inputs) -> Quantity:
    """Size of one lookup, request and answer, in bytes."""
    return derived("B", lambda size: 2.0 * size, inputs.assumed("shard_entry_bytes"))


@dataclass(frozen=True)
class LookupOption:
    """One way for a balancer to look up the owner of a shard."""

    name: str
    state: Quantity  # per balancer, in bytes
    mean_rate: Quantity  # bytes per second and balancer
    zone_loss_time: Quantity  # to announce the loss of a zone at the full bandwidth budget
    age: str  # staleness of the answers
    verdict: str


def lookup_options(inputs: Inputs) -> list[LookupOption]:
    """The options considered, with the fewest servers, which is the worst case for moves."""
    min_servers = inputs.server_counts[0]
    entry_bytes = inputs.assumed("shard_entry_bytes")
    return [
        LookupOption(
            "the full table by a watch",
            table_bytes(inputs),
            byte_rate(shard_moves(inputs, min_servers), entry_bytes),
            time_in_budget(inputs, zone_change_bytes(inputs, shard_count(inputs), entry_bytes)),
            "as the list",
            "does not fit",
        ),
        LookupOption(
            "lookup on demand, entries cached under leases that are renewed",
            inputs.assumed("shard_cache_mb"),
            renewal_bytes(inputs),
            time_in_budget(inputs, specified(0.0, "B")),
            "a lease",
            "renewal costs more than all else: renew only on use",
        ),
        LookupOption(
            "lookup on demand, entries cached under leases, renewed only on use",
            inputs.assumed("shard_cache_mb"),
            byte_rate(inputs.assumed("shards_asked_per_s"), lookup_bytes(inputs)),
            time_in_budget(inputs, specified(0.0, "B")),
            "a lease; a wrong owner redirects",
            "for keys that are not placed by hash; its rate has to be bounded",
        ),
        LookupOption(
            "consistent hashing of shards onto servers, no table",
            specified(0.0, "B"),
            specified(0.0, "B/s"),
            time_in_budget(inputs, specified(0.0, "B")),
            "as the server list",
            "fits, but no shard can be moved off a hot server",
        ),
        LookupOption(
            "shards hashed to slots, slots assigned to servers, a table of exceptions",
            total(slot_table_bytes(inputs), exceptions_bytes(inputs)),
            byte_rate(slot_moves(inputs, min_servers), SLOT_CHANGE),
            time_in_budget(inputs, zone_change_bytes(inputs, inputs.assumed("shard_slots"), SLOT_CHANGE)),
            "as the server list",
            "fits; chosen, with lookups for all other shards",
        ),
    ]


def slot_table_bytes(inputs: Inputs) -> Quantity:
    """Size of the table of slots with their servers, in bytes."""
    return derived("B", lambda count, size: count * size, inputs.assumed("shard_slots"), SERVER_INDEX)


def exceptions_bytes(inputs: Inputs) -> Quantity:
    """Size of the table of shards that are not placed by their hash, in bytes."""
    return derived(
        "B",
        lambda percent, size: size * percent / PERCENT,
        inputs.assumed("exceptions_pct"),
        table_bytes(inputs),
    )


def slot_moves(inputs: Inputs, servers: int) -> Quantity:
    """Slots that change owner per second if all changing machines are servers that lose their slots."""
    return derived(
        "/s",
        lambda rate, slots: rate * slots / servers,
        machine_changes_per_s(inputs),
        inputs.assumed("shard_slots"),
    )


def renewal_bytes(inputs: Inputs) -> Quantity:
    """Bytes per second and balancer if a full cache renews every lease before it expires."""
    return derived(
        "B/s",
        lambda cache, entry, lease, call: cache / entry / lease * call,
        inputs.assumed("shard_cache_mb"),
        inputs.assumed("shard_entry_bytes"),
        inputs.assumed("shard_lease_s"),
        lookup_bytes(inputs),
    )


def byte_rate(rate: Quantity, size: Quantity) -> Quantity:
    """Bytes per second of messages of one size (bytes), at a rate of messages per second."""
    return derived("B/s", lambda count, size_each: count * size_each, rate, size)


def zone_change_bytes(inputs: Inputs, count: Quantity, size: Quantity) -> Quantity:
    """Bytes needed to announce the new owners of a lost zone's entries to one balancer."""
    return derived(
        "B", lambda total_, zones, size_each: total_ / zones * size_each, count, inputs.zones, size
    )


def time_in_budget(inputs: Inputs, size: Quantity) -> Quantity:
    """Time to transfer a size at a balancer's full bandwidth budget."""
    return derived("s", lambda total_bytes, rate: total_bytes / rate, size, inputs.bytes_budget)


def shard_directory_role(inputs: Inputs) -> Role:
    """The role of the shard directory: its size, and the lookups of all balancers."""
    min_servers, max_servers = inputs.server_counts[0], inputs.server_counts[-1]
    lookups = derived(
        "/s", lambda rate, count: rate * count, inputs.assumed("shards_asked_per_s"), inputs.balancers
    )
    bytes_per_machine = inputs.per_control_machine(
        derived("B", lambda size, replicas: size * replicas, table_bytes(inputs), REPLICAS)
    )
    lookup_core = derived(
        "cores",
        lambda rate, cost: rate * cost,
        inputs.per_control_machine(lookups),
        call_cpu_time(inputs, inputs.targets.fleet.balancers),
    )
    return Role(
        "shards",
        "Directory of shards",
        "Each quantity names its scope.",
        (
            Row(
                QuantityKind.STATE,
                "all shards as entries, with a balancer's memory budget",
                table_bytes(inputs),
                inputs.memory_budget,
            ),
            Row(
                QuantityKind.MEMORY,
                "all shards in a balancer, held as servers are today",
                memory_as_servers(inputs),
                inputs.memory_budget,
            ),
            Row(
                QuantityKind.MEMORY,
                f"a control machine's share, {REPLICAS.value:.0f} replicas",
                bytes_per_machine,
                inputs.assumed("machine_memory_gb"),
            ),
            Row(
                QuantityKind.MESSAGES,
                f"moved shards, {min_servers:,} servers",
                shard_moves(inputs, min_servers),
            ),
            Row(
                QuantityKind.MESSAGES,
                f"moved shards, {max_servers:,} servers",
                shard_moves(inputs, max_servers),
            ),
            Row(QuantityKind.MESSAGES, "lookups, all balancers", lookups),
            Row(QuantityKind.PEAK, "shards of a lost zone, within the deadline", zone_moves(inputs)),
            Row(
                QuantityKind.BYTES,
                "lookups of a balancer",
                byte_rate(inputs.assumed("shards_asked_per_s"), lookup_bytes(inputs)),
                inputs.bytes_budget,
            ),
            Row(
                QuantityKind.PROCESSOR,
                "lookups on a control machine, each as one call of the list service",
                lookup_core,
                inputs.cores_per_machine,
            ),
        ),
        (
            Mechanism(
                "replicated store with watches, by consensus", Status.EXTERNAL, "provided by existing engines"
            ),
            Mechanism(
                "consistent hashing with a table of exceptions",
                Status.MISSING,
                "balancers have no notion of a shard yet",
            ),
            Mechanism(
                "cache of lookups under leases", Status.MISSING, "needs a protocol that is not specified"
            ),
            Mechanism(
                "shuffle sharding of groups onto servers",
                Status.IMPLEMENTED,
                "a shuffle by group, the same at every balancer",
            ),
        ),
    )


def shard_quantities(inputs: Inputs) -> dict[str, Quantity]:
    """Quantities quoted in the chapter on shards."""
    return {
        "shards.entries": table_bytes(inputs),
        "shards.memory_as_servers": memory_as_servers(inputs),
        "shards.budget": inputs.memory_budget,
        "shards.slots": slot_table_bytes(inputs),
        "shards.exceptions": exceptions_bytes(inputs),
        "shards.renewals": renewal_bytes(inputs),
        "shards.lookups_in_budget": derived(
            "/s", lambda rate, size: rate / size, inputs.bytes_budget, lookup_bytes(inputs)
        ),
        "shards.per_zone": derived(
            "shards", lambda count, zones: count / zones, shard_count(inputs), inputs.zones
        ),
    }
