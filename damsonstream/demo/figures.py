"""What gateways of a play are told in their settings, and what its viewers ask for. No I/O.

How it is called: `settings(gateways, models, locations)` gives the object that stands under `settings` in a
gateway's configuration; `OFFERS` are the delivery services.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from damsonstream.standins.traffic import Offer

OFFERS = (
    Offer("pages", 0.6, 900, 0.9, 12_000, 3000),
    Offer("covers", 0.3, 500, 1.0, 4_000, 1500),
    Offer("unlock", 0.1, 400, 0.7, 400, 3000, tokened=True),
)
REMEMBERED = 3.0  # seconds for which the vault knows a token


def lane(offer: Offer) -> dict[str, Any]:
    told: dict[str, Any] = {
        "name": offer.name, "onTime": 400_000, "aimStretch": 1.0, "hardLimit": offer.patience_ms * 1000,
        "worth": 2.0 if offer.tokened else 1.0, "lateShare": 0.15, "idempotency": "idempotent",
    }  # fmt: skip
    if offer.tokened:
        told |= {"idempotency": "deduplicated", "keyScope": "all", "dedupWindow": int(REMEMBERED * 1e6)}
    return told


def settings(gateways: int, models: Sequence[str], locations: Sequence[str]) -> dict[str, Any]:
    return {
        "balancers": gateways,
        "kinds": list(models),
        "zones": list(locations),
        "myZone": locations[0],
        "lanes": [lane(offer) for offer in OFFERS],
        "familyInfo": {
            "shieldKind": 1,
            "masterKind": 2,
            "maxAge": [0] * len(OFFERS),
            "usableAfter": [0] * len(OFFERS),
            "passOn": [offer.tokened for offer in OFFERS],
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
