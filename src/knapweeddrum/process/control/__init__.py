"""The control process: the operators' resource API and orders to engines."""

from __future__ import annotations
