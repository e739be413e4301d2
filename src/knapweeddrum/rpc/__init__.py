"""Transport between the processes: codec, authentication, channels."""

from __future__ import annotations
