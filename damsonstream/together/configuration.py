"""Builds the settings of the gateways of a script, and the KDL file of its cache hierarchy. No I/O.

A script without zones has one shop (location) with all gateways; a script with zones has one shop per zone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from damsonstream.demo import configuration
from damsonstream.together.script import Script

PEER_MESSAGE_COST = 0.01  # setting: share of all revenue that one full peer message per GET costs


def shop_assignment(script: Script) -> tuple[Callable[[int], int], list[int]]:
    """Returns a function from gateway index to shop index, and the number of gateways of each shop."""
    if not script.zones:
        return (lambda index: 0), [len(script.gateways)]
    shop_by_gateway = {name: shop for shop, zone in enumerate(script.zones) for name in zone.gateways}
    return (lambda index: shop_by_gateway[script.gateways[index]]), [
        len(zone.gateways) for zone in script.zones
    ]


def zone_by_node(script: Script, caches: int) -> dict[str, str]:
    """Returns the zone of each parent and cache, where each shop has `caches` caches."""
    found = {hub: zone.name for zone in script.zones for hub in zone.hubs}
    for shop, zone in enumerate(script.zones, 1):
        found |= {f"cache-{shop}-{number + 1}": zone.name for number in range(caches)}
    return found


def gateway_settings(
    script: Script, index: int, shop_of: Callable[[int], int], gateways_per_shop: Sequence[int],
    models: Sequence[str], locations: Sequence[str],
) -> dict[str, Any]:  # fmt: skip
    result = configuration.gateway_settings(sum(gateways_per_shop), models, locations)
    result |= {
        "ordinal": index,
        "deductions": {"peer": PEER_MESSAGE_COST},
        "myZone": locations[shop_of(index)],
    }
    result["familyInfo"]["zoneBalancers"] = [*gateways_per_shop, 0]
    result["limits"]["peerMessages"] = True
    initial_share, overload_multiple = script.cold_start
    result["rules"] |= {
        "warmWithin": int(script.warm_up * 1e6),
        "startCapacity": initial_share,
        "fallMultiple": overload_multiple,
    }
    return result


def quote_names(names: Iterable[str]) -> str:
    return " ".join(f'"{name}"' for name in names)


def hierarchy_kdl(script: Script, uids: Mapping[str, str], revision: int) -> str:
    """Returns a revision of the hierarchy file as KDL; `uids` are the wire ids of the nodes by name."""
    origin = uids["vault"]
    lines = [f"revision {revision}", f"vault-cap {script.origin_cap:g}",
             f'vault "{origin}" {{ zone "{script.zones[0].name}"; }}']  # fmt: skip
    for shop, zone in enumerate(script.zones, 1):
        region = f'region "{zone.region}"; ' if zone.region else ""
        prefers = f"prefers {quote_names(zone.prefers)}; " if zone.prefers else ""
        lines.append(f'zone "{zone.name}" {{ {region}{prefers}takes {zone.spill_share:g}; '
                     f'ramp "{zone.ramp:g}s"; }}')  # fmt: skip
        lines += [f'hub "{uids[parent]}" {{ zone "{zone.name}"; capacity {zone.parent_capacity:g}; '
                  f'sources "{origin}"; }}' for parent in zone.hubs]  # fmt: skip
        order = [zone, *(one for name in zone.prefers for one in script.zones if one.name == name)]
        sources = quote_names([uids[hub] for one in order for hub in one.hubs] + [origin])
        lines += [f'cache "{uid}" {{ zone "{zone.name}"; sources {sources}; }}'
                  for name, uid in uids.items() if name.startswith(f"cache-{shop}-")]  # fmt: skip
    return "\n".join(lines) + "\n"
