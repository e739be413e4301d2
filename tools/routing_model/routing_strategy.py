"""The routing strategies that are compared."""

from __future__ import annotations

import enum


class RoutingStrategy(enum.StrEnum):
    """A routing policy, with admission and cancels unless the name says otherwise."""

    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_REPORTED = "least_reported"
    PREFIX_HASH = "prefix_hash"
    SAMPLED = "sampled_load"
    SAMPLED_AFFINITY = "sampled_load_affinity"
    SAMPLED_UNADMITTED = "sampled_load_affinity_without_admission"
    SAMPLED_UNCANCELLED = "sampled_load_affinity_without_cancel"
