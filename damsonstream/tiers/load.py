"""A shape as an operator writes it, in KDL.

How it is called: `load(path)` and `parse(section)` give a `Shape`, or raise `settings.kdl.Fault` with file,
line and field; `lines(path)` the line of each node and zone by name, `text(shape)` a shape as KDL. What the
shape means as a whole is for `checks.py`.
"""

from __future__ import annotations

from damsonstream.settings import kdl
from damsonstream.tiers.shape import RAMP, ROLES, Node, Shape, Zone, shape_of


def named(section: kdl.Section, what: str) -> str:
    if len(section.args) != 1 or not isinstance(section.args[0], str) or not section.args[0]:
        raise section.fault(f"takes the {what}'s name")
    return section.args[0]


def load(path: str) -> Shape:
    return parse(kdl.read(path))


def parse(top: kdl.Section) -> Shape:
    revision = int(top.number("revision", 0, 0, 1 << 53))
    if not revision:
        raise top.fault("is missing, or 0: each revision has a higher number than the one before", "revision")
    cap = top.number("vault-cap", 0.0, 0, 1e9)
    deepest = int(top.number("deepest", 4, 2, 16))
    zones: dict[str, Zone] = {}
    for section in top.all("zone"):
        name = named(section, "zone")
        if name in zones:
            raise section.fault(f"{name} is given twice")
        zones[name] = Zone(name, section.texts("prefers", "name"), section.number("takes", 0.5, 0, 1),
                           section.number("gives", 1.0, 0, 1), section.text("region"),
                           section.span("ramp", RAMP, 1.0))  # fmt: skip
        section.finish()
    nodes: dict[str, Node] = {}
    for role in ROLES:
        for section in top.all(role):
            name = named(section, role)
            if name in nodes:
                raise section.fault(f"{name} is given twice")
            zone = section.text("zone")
            if not zone:
                raise section.fault("is missing", "zone")
            nodes[name] = Node(
                name, role, zone, section.number("capacity", 0.0, 0, 1e9), section.texts("sources", "name")
            )
            section.finish()
    top.finish()
    return shape_of(revision, nodes.values(), zones.values(), vault_cap=cap, deepest=deepest)


def lines(path: str) -> dict[str, int]:
    """Where each zone and node of a file stands; of the first, where a name is given twice."""
    found: dict[str, int] = {}
    top = kdl.read(path)
    for kind in ("zone", *ROLES):
        for section in top.all(kind):
            if section.args and isinstance(section.args[0], str):
                found.setdefault(section.args[0], section.line)
    return found


def quoted(name: str) -> str:
    return '"' + name.replace("\\", "\\\\").replace('"', '\\"') + '"'


def text(shape: Shape) -> str:
    """The same shape when it is read again."""
    made = [f"revision {shape.revision}", f"vault-cap {shape.vault_cap:.12g}", f"deepest {shape.deepest}"]
    for name in sorted(shape.zones):
        zone = shape.zones[name]
        fields = [f"prefers {' '.join(map(quoted, zone.prefers))}"] if zone.prefers else []
        fields += [f"takes {zone.takes:.12g}", f"gives {zone.gives:.12g}", f'ramp "{zone.ramp:.12g}s"']
        fields += [f"region {quoted(zone.region)}"] if zone.region else []
        made.append(f"zone {quoted(name)} {{ {'; '.join(fields)}; }}")
    for role in reversed(ROLES):
        for node in shape.role(role):
            fields = [f"zone {quoted(node.zone)}", f"capacity {node.capacity:.12g}"]
            fields += [f"sources {' '.join(map(quoted, node.sources))}"] if node.sources else []
            made.append(f"{role} {quoted(node.name)} {{ {'; '.join(fields)}; }}")
    return "\n".join(made) + "\n"
