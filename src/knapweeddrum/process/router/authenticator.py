"""Authentication of callers by their organisation's keys."""

from __future__ import annotations

import hashlib
import hmac

from knapweeddrum.process.router.exceptions import refused
from knapweeddrum.process.router.resource_table import ResourceTable
from knapweeddrum.value.identifiers import OrganisationName
from knapweeddrum.value.refusal_reason import RefusalReason


def authenticate(table: ResourceTable, key: str) -> OrganisationName:
    """Return the organisation that the key belongs to; raises RefusedError."""
    if not key:
        raise refused(RefusalReason.UNAUTHENTICATED, "no Authorization: Bearer header")
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    found = ""
    for name, organisation in table.organisations.items():
        for known in organisation.key_digests:
            if hmac.compare_digest(known.lower().encode(), digest.encode()):
                found = name
    if not found:
        raise refused(RefusalReason.UNAUTHENTICATED, "unknown key")
    return OrganisationName(found)
