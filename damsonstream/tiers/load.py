"""Reads and writes the operator's hierarchy file (KDL).

`load(path)` and `parse(section)` return a `Topology` or raise `settings.kdl.KdlError` with file, line and
field.
`line_numbers(path)` maps each node and zone to its line, `to_kdl(topology)` writes a topology as KDL. Rules
that involve several nodes are checked by `checks.py`.
"""

from __future__ import annotations

from damsonstream.settings import kdl
from damsonstream.tiers.hierarchy import DEFAULT_RAMP_S, ROLES, Node, Topology, Zone, topology_of


def name_argument(section: kdl.Section, what: str) -> str:
    """Returns the only argument of a section: the name of a zone or node."""
    if len(section.args) != 1 or not isinstance(section.args[0], str) or not section.args[0]:
        raise section.error(f"needs the {what}'s name as its only argument")
    return section.args[0]


def load(path: str) -> Topology:
    return parse(kdl.read(path))


def parse(top: kdl.Section) -> Topology:
    revision = int(top.number("revision", 0, 0, 1 << 53))
    if not revision:
        raise top.error(
            "is missing or 0; each revision needs a higher number than the one before", "revision"
        )
    cap = top.number("vault-cap", 0.0, 0, 1e9)
    deepest = int(top.number("deepest", 4, 2, 16))
    zones: dict[str, Zone] = {}
    for section in top.sections("zone"):
        name = name_argument(section, "zone")
        if name in zones:
            raise section.error(f"{name} is defined twice")
        zones[name] = Zone(name, section.texts("prefers", "name"), section.number("takes", 0.5, 0, 1),
                           section.number("gives", 1.0, 0, 1), section.text("region"),
                           section.duration("ramp", DEFAULT_RAMP_S, 1.0))  # fmt: skip
        section.finish()
    nodes: dict[str, Node] = {}
    for role in ROLES:
        for section in top.sections(role):
            name = name_argument(section, role)
            if name in nodes:
                raise section.error(f"{name} is defined twice")
            zone = section.text("zone")
            if not zone:
                raise section.error("is missing", "zone")
            nodes[name] = Node(
                name, role, zone, section.number("capacity", 0.0, 0, 1e9), section.texts("sources", "name")
            )
            section.finish()
    top.finish()
    return topology_of(revision, nodes.values(), zones.values(), vault_cap=cap, deepest=deepest)


def line_numbers(path: str) -> dict[str, int]:
    """Returns the line of each zone and node by name; the first line if a name is given twice."""
    numbers: dict[str, int] = {}
    top = kdl.read(path)
    for kind in ("zone", *ROLES):
        for section in top.sections(kind):
            if section.args and isinstance(section.args[0], str):
                numbers.setdefault(section.args[0], section.line)
    return numbers


def quote(name: str) -> str:
    return '"' + name.replace("\\", "\\\\").replace('"', '\\"') + '"'


def to_kdl(topology: Topology) -> str:
    """Returns the topology as KDL; reading it back yields an equal topology."""
    rows = [
        f"revision {topology.revision}",
        f"vault-cap {topology.vault_cap:.12g}",
        f"deepest {topology.deepest}",
    ]
    for name in sorted(topology.zones):
        zone = topology.zones[name]
        fields = [f"prefers {' '.join(map(quote, zone.prefers))}"] if zone.prefers else []
        fields += [f"takes {zone.takes:.12g}", f"gives {zone.gives:.12g}", f'ramp "{zone.ramp:.12g}s"']
        fields += [f"region {quote(zone.region)}"] if zone.region else []
        rows.append(f"zone {quote(name)} {{ {'; '.join(fields)}; }}")
    for role in reversed(ROLES):
        for node in topology.nodes_with_role(role):
            fields = [f"zone {quote(node.zone)}", f"capacity {node.capacity:.12g}"]
            fields += [f"sources {' '.join(map(quote, node.sources))}"] if node.sources else []
            rows.append(f"{role} {quote(node.name)} {{ {'; '.join(fields)}; }}")
    return "\n".join(rows) + "\n"
