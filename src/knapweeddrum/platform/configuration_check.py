"""Validation of a configuration document before it is written to the store."""

from __future__ import annotations

import dataclasses
import re

from knapweeddrum.platform.configuration_codec import (
    ConfigurationDocument,
    decode_configuration,
    decode_document,
)
from knapweeddrum.platform.exceptions import MalformedRecordError
from knapweeddrum.platform.json_location import line_of_error, line_of_path

ERROR_PATH_PATTERN = re.compile(r"`(\$[^`]*)`")


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationFault:
    """An error in a configuration document; lines are counted from 1."""

    line: int
    message: str


def check_configuration(body: bytes) -> list[ConfigurationFault]:
    """Return the faults of a JSON configuration document, ordered by line."""
    try:
        text = body.decode()
        document = decode_document(body)
        decode_configuration(body)
    except UnicodeDecodeError as exc:
        return [ConfigurationFault(1, f"not UTF-8: {exc}")]
    except MalformedRecordError as exc:
        return [_decoding_fault(text, str(exc))]
    faults = [
        ConfigurationFault(line_of_path(text, path), message)
        for path, message in _inconsistencies(document)
    ]
    return sorted(faults, key=lambda fault: fault.line)


def _decoding_fault(text: str, message: str) -> ConfigurationFault:
    found = ERROR_PATH_PATTERN.search(message)
    if found is None:
        return ConfigurationFault(line_of_error(text, message), message)
    return ConfigurationFault(line_of_path(text, found.group(1)), message)


def _inconsistencies(document: ConfigurationDocument) -> list[tuple[str, str]]:
    """Return the JSON path and message of each fault that decoding doesn't detect."""
    faults = []
    services = {service.name for service in document.services}
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(document.routes):
        path = f"$.routes[{index}]"
        referenced = [cluster.service for cluster in route.weighted_clusters]
        referenced += [route.service] if route.service is not None else []
        faults += [
            (path, f"route {route.name} refers to an undeclared service: {name}")
            for name in referenced
            if name not in services
        ]
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            message = f"route {route.name}: the prefix must start and end with a slash"
            faults.append((f"{path}.pathPrefix", message))
        if (route.host, prefix) in seen:
            message = f"route {route.name}: same host and path prefix as another route"
            faults.append((path, message))
        seen.add((route.host, prefix))
    owner_by_key: dict[str, str] = {}
    for index, tenant in enumerate(document.tenants):
        for key in tenant.api_keys:
            owner = owner_by_key.setdefault(key, tenant.name)
            if owner != tenant.name:
                message = f"an API key of {tenant.name} is also a key of {owner}"
                faults.append((f"$.tenants[{index}].apiKeys", message))
    return faults
