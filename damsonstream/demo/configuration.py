"""The settings of the demo's gateways, and its delivery services with their load. No I/O.

`gateway_settings(gateways, models, locations)` returns the object under `settings` in a gateway's
configuration; `PROFILES` are the delivery services.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from damsonstream.standins.traffic import ServiceProfile

PROFILES = (
    ServiceProfile("pages", 0.6, 900, 0.9, 12_000, 3000),
    ServiceProfile("covers", 0.3, 500, 1.0, 4_000, 1500),
    ServiceProfile("unlock", 0.1, 400, 0.7, 400, 3000, tokened=True),
)
TOKEN_TTL = 3.0  # seconds for which the origin remembers a token


def service_settings(profile: ServiceProfile) -> dict[str, Any]:
    result: dict[str, Any] = {
        "name": profile.name, "onTime": 400_000, "aimStretch": 1.0,
        "hardLimit": profile.viewer_timeout_ms * 1000, "worth": 2.0 if profile.tokened else 1.0,
        "lateShare": 0.15, "idempotency": "idempotent",
    }  # fmt: skip
    if profile.tokened:
        result |= {"idempotency": "deduplicated", "keyScope": "all", "dedupWindow": int(TOKEN_TTL * 1e6)}
    return result


def gateway_settings(gateways: int, models: Sequence[str], locations: Sequence[str]) -> dict[str, Any]:
    return {
        "balancers": gateways,
        "kinds": list(models),
        "zones": list(locations),
        "myZone": locations[0],
        "lanes": [service_settings(profile) for profile in PROFILES],
        "familyInfo": {
            "shieldKind": 1,
            "masterKind": 2,
            "maxAge": [0] * len(PROFILES),
            "usableAfter": [0] * len(PROFILES),
            "passOn": [offer.tokened for offer in PROFILES],
            "says": "all",
            "joins": True,
            "clientKbPerS": 40_000.0,
            "zoneBalancers": [gateways, 0],
            "purgeSettles": 1_000_000,
            "noticeTime": 300_000,
            "parentStartsAt": 0.1,
            "upperCold": 6_000_000,
            "parentBreaksAt": 4.0,
        },
        "limits": {
            "cancel": True,
            "secondCopies": True,
            "retryAfter": True,
            "maxAttempts": 6,
            "maxOpen": 1000,
            "connectTimeout": 250_000,
            "connIdle": 15_000_000,
            "maxStreams": 32,
            "maxRetryAfter": 500_000,
        },
        "rules": {
            "startCapacity": 0.3,
            "warmWithin": 4_000_000,
            "fallMultiple": 4.0,
            "tipAfter": 1_000_000,
            "stopSendingWithin": 1_000_000,
        },
        "tick": 2000,
        "weights": "rough",
    }
