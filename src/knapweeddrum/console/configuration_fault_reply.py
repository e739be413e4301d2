"""A fault of a configuration file, as ``check-config`` prints it in JSON."""

from __future__ import annotations

import msgspec


class ConfigurationFaultReply(msgspec.Struct, frozen=True):
    """File, line and what is wrong there."""

    file: str
    line: int
    message: str
