"""What the gateways of a script are told: their settings, and the hierarchy as an operator writes it. No I/O.

How it is called: `settings(script, place, home, shops, models, locations)` for the gateway at that place,
whose shop is `home` of those that `shops` counts the gateways of; `homes(script)` gives both for a script
of one shop or of zones; `hierarchy(script, uids, revision)` is KDL.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from damsonstream.demo import figures
from damsonstream.together.script import Script

PRICE = 0.01  # as the settings tell it: part of all revenue for one full message a GET


def homes(script: Script) -> tuple[Callable[[int], int], list[int]]:
    """The shop of each gateway by its place, and how many gateways each shop has."""
    if not script.zones:
        return (lambda place: 0), [len(script.gateways)]
    of = {name: shop for shop, zone in enumerate(script.zones) for name in zone.gateways}
    return (lambda place: of[script.gateways[place]]), [len(zone.gateways) for zone in script.zones]


def zones(script: Script, caches: int) -> dict[str, str]:
    """The zone of each hub and cache; each shop has so many caches."""
    found = {hub: zone.name for zone in script.zones for hub in zone.hubs}
    for shop, zone in enumerate(script.zones, 1):
        found |= {f"cache-{shop}-{number + 1}": zone.name for number in range(caches)}
    return found


def settings(
    script: Script, place: int, home: Callable[[int], int], shops: Sequence[int], models: Sequence[str],
    locations: Sequence[str],
) -> dict[str, Any]:  # fmt: skip
    told = figures.settings(sum(shops), models, locations)
    told |= {"ordinal": place, "deductions": {"peer": PRICE}, "myZone": locations[home(place)]}
    told["familyInfo"]["zoneBalancers"] = [*shops, 0]
    told["limits"]["peerMessages"] = True
    starts, falls = script.cold
    told["rules"] |= {"warmWithin": int(script.warm * 1e6), "startCapacity": starts, "fallMultiple": falls}
    return told


def quoted(names: Iterable[str]) -> str:
    return " ".join(f'"{name}"' for name in names)


def hierarchy(script: Script, uids: Mapping[str, str], revision: int) -> str:
    """`uids`: what the wire calls each node, by its name."""
    vault = uids["vault"]
    lines = [f"revision {revision}", f"vault-cap {script.vault_cap:g}",
             f'vault "{vault}" {{ zone "{script.zones[0].name}"; }}']  # fmt: skip
    for shop, place in enumerate(script.zones, 1):
        region = f'region "{place.region}"; ' if place.region else ""
        prefers = f"prefers {quoted(place.prefers)}; " if place.prefers else ""
        lines.append(f'zone "{place.name}" {{ {region}{prefers}takes {place.takes:g}; '
                     f'ramp "{place.ramp:g}s"; }}')  # fmt: skip
        lines += [f'hub "{uids[hub]}" {{ zone "{place.name}"; capacity {place.bears:g}; '
                  f'sources "{vault}"; }}' for hub in place.hubs]  # fmt: skip
        order = [place, *(one for name in place.prefers for one in script.zones if one.name == name)]
        sources = quoted([uids[hub] for one in order for hub in one.hubs] + [vault])
        lines += [f'cache "{uid}" {{ zone "{place.name}"; sources {sources}; }}'
                  for name, uid in uids.items() if name.startswith(f"cache-{shop}-")]  # fmt: skip
    return "\n".join(lines) + "\n"
