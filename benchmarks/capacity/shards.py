"""The holder of shards to servers: who serves which of millions of shards, and how balancers learn of it."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.balancer import control_memory
from benchmarks.capacity.inputs import DAY_S, PERCENT, Inputs
from benchmarks.capacity.lists import call_cpu_time
from benchmarks.capacity.quantity import Quantity, assumed, derived, specified, total
from benchmarks.capacity.roles import Mechanism, QuantityKind, Role, Row, Status

REPLICAS = specified(3.0, "replicas")
SERVER_INDEX = specified(2.0, "B")  # a slot's server as a number below 65,536
SLOT_CHANGE = specified(8.0, "B")  # slot, server and version


def table_bytes(inputs: Inputs) -> Quantity:
    """All shards as compact entries."""
    return derived("B", lambda count, size: count * size, shards(inputs), inputs.assumed("shard_entry_bytes"))


def shards(inputs: Inputs) -> Quantity:
    return specified(inputs.targets.fleet.shards, "shards")


def memory_as_servers(inputs: Inputs) -> Quantity:
    """A process that holds all shards as it holds servers today."""
    return control_memory(inputs, inputs.targets.fleet.shards)


def machine_changes_per_s(inputs: Inputs) -> Quantity:
    """Machines that fail, restart or are replaced, a second."""
    failures = inputs.targets.failures
    return specified((failures.machines_per_day + failures.restarts_per_day) / DAY_S, "/s")


def shard_moves(inputs: Inputs, servers: int) -> Quantity:
    """Shards a second that get another owner, if each such machine is a server and gives its shards away."""
    each = derived(
        "shards", lambda count, owners: count / owners, shards(inputs), assumed(servers, "servers")
    )
    return derived("/s", lambda rate, count: rate * count, machine_changes_per_s(inputs), each)


def zone_moves(inputs: Inputs) -> Quantity:
    """Shards a second whose new owner is told after a zone is lost, all within the time for a change."""
    return derived(
        "/s",
        lambda count, zones, within: count / zones / within,
        shards(inputs),
        inputs.zones,
        inputs.change_deadline,
    )


def lookup_bytes(inputs: Inputs) -> Quantity:
    """Bytes of one lookup: a key, and an entry back."""
    return derived("B", lambda size: 2.0 * size, inputs.assumed("shard_entry_bytes"))


@dataclass(frozen=True)
class LookupOption:
    """One way in which a balancer learns who serves a shard."""

    name: str
    state: Quantity  # of a balancer
    mean_rate: Quantity  # bytes a second of a balancer
    zone_loss_time: Quantity  # seconds of the whole budget of bytes that a lost zone's news takes
    age: str
    verdict: str


def lookup_options(inputs: Inputs) -> list[LookupOption]:
    """The ways weighed, with the fewest servers, which is the worst case for moves."""
    few = inputs.server_counts[0]
    change = inputs.assumed("shard_entry_bytes")
    return [
        LookupOption(
            "the whole table by a watch",
            table_bytes(inputs),
            byte_rate(shard_moves(inputs, few), change),
            time_in_budget(inputs, zone_change_bytes(inputs, shards(inputs), change)),
            "as the list",
            "does not fit",
        ),
        LookupOption(
            "lookup on demand, entries cached under leases that are renewed",
            inputs.assumed("shard_cache_mb"),
            renewals(inputs),
            time_in_budget(inputs, specified(0.0, "B")),
            "a lease",
            "renewing costs more than all else: renew at use only",
        ),
        LookupOption(
            "lookup on demand, entries cached under leases, asked anew at use only",
            inputs.assumed("shard_cache_mb"),
            byte_rate(inputs.assumed("shards_asked_per_s"), lookup_bytes(inputs)),
            time_in_budget(inputs, specified(0.0, "B")),
            "a lease; a wrong owner redirects",
            "for keys that no hash places; its rate has to be bounded",
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
            total(slot_table(inputs), exceptions(inputs)),
            byte_rate(slot_moves(inputs, few), SLOT_CHANGE),
            time_in_budget(inputs, zone_change_bytes(inputs, inputs.assumed("shard_slots"), SLOT_CHANGE)),
            "as the server list",
            "fits; taken for the plan, with lookups for what is neither",
        ),
    ]


def slot_table(inputs: Inputs) -> Quantity:
    return derived("B", lambda count, size: count * size, inputs.assumed("shard_slots"), SERVER_INDEX)


def exceptions(inputs: Inputs) -> Quantity:
    """The shards that stand elsewhere than their hash says."""
    return derived(
        "B", lambda part, whole: whole * part / PERCENT, inputs.assumed("exceptions_pct"), table_bytes(inputs)
    )


def slot_moves(inputs: Inputs, servers: int) -> Quantity:
    return derived(
        "/s",
        lambda rate, slots: rate * slots / servers,
        machine_changes_per_s(inputs),
        inputs.assumed("shard_slots"),
    )


def renewals(inputs: Inputs) -> Quantity:
    """Bytes a second, where a full cache renews each lease before its end."""
    return derived(
        "B/s",
        lambda cache, entry, lease, call: cache / entry / lease * call,
        inputs.assumed("shard_cache_mb"),
        inputs.assumed("shard_entry_bytes"),
        inputs.assumed("shard_lease_s"),
        lookup_bytes(inputs),
    )


def byte_rate(rate: Quantity, size: Quantity) -> Quantity:
    return derived("B/s", lambda often, each: often * each, rate, size)


def zone_change_bytes(inputs: Inputs, count: Quantity, size: Quantity) -> Quantity:
    """Bytes that tell a balancer the new owners of what a lost zone had."""
    return derived("B", lambda all_, zones, each: all_ / zones * each, count, inputs.zones, size)


def time_in_budget(inputs: Inputs, size: Quantity) -> Quantity:
    """How long a balancer's whole budget of bytes takes for it."""
    return derived("s", lambda news, rate: news / rate, size, inputs.bytes_budget)


def holder(inputs: Inputs) -> Role:
    """The table of shards where it is held, and what balancers ask of it."""
    few, many = inputs.server_counts[0], inputs.server_counts[-1]
    lookups = derived(
        "/s", lambda rate, count: rate * count, inputs.assumed("shards_asked_per_s"), inputs.balancers
    )
    share = inputs.per_control_machine(
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
        "Holder of shards to servers",
        "Each quantity says whose it is.",
        (
            Row(
                QuantityKind.STATE,
                "all shards as entries, beside a balancer's memory",
                table_bytes(inputs),
                inputs.memory_budget,
            ),
            Row(
                QuantityKind.MEMORY,
                "all shards in a balancer as it holds servers today",
                memory_as_servers(inputs),
                inputs.memory_budget,
            ),
            Row(
                QuantityKind.MEMORY,
                f"a control machine's part, {REPLICAS.value:.0f} replicas",
                share,
                inputs.assumed("machine_memory_gb"),
            ),
            Row(QuantityKind.MESSAGES, f"moved shards, {few:,} servers", shard_moves(inputs, few)),
            Row(QuantityKind.MESSAGES, f"moved shards, {many:,} servers", shard_moves(inputs, many)),
            Row(QuantityKind.MESSAGES, "lookups, all balancers", lookups),
            Row(QuantityKind.PEAK, "shards of a lost zone, within the told time", zone_moves(inputs)),
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
                "replicated store with watches, by consensus", Status.EXTERNAL, "an existing engine's work"
            ),
            Mechanism(
                "consistent hashing with a table of exceptions",
                Status.MISSING,
                "a shard is nothing to a balancer yet",
            ),
            Mechanism(
                "cache of lookups under leases", Status.MISSING, "needs a protocol that nobody has told"
            ),
            Mechanism(
                "shuffle sharding of groups onto servers",
                Status.IMPLEMENTED,
                "a shuffle by group, the same at every balancer",
            ),
        ),
    )


def shard_quantities(inputs: Inputs) -> dict[str, Quantity]:
    """What the chapter on shards quotes."""
    return {
        "shards.entries": table_bytes(inputs),
        "shards.as_servers": memory_as_servers(inputs),
        "shards.budget": inputs.memory_budget,
        "shards.slots": slot_table(inputs),
        "shards.exceptions": exceptions(inputs),
        "shards.renewals": renewals(inputs),
        "shards.lookups_in_budget": derived(
            "/s", lambda rate, size: rate / size, inputs.bytes_budget, lookup_bytes(inputs)
        ),
        "shards.zone": derived("shards", lambda count, zones: count / zones, shards(inputs), inputs.zones),
    }
