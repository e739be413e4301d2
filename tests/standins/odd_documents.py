"""Documents that another writer may get wrong, made from sound ones."""

from __future__ import annotations

import json
import random
import sys

DEPTH = 4 * sys.getrecursionlimit()

ODD_VALUES: tuple[object, ...] = (
    None,
    True,
    -1,
    0,
    0.5,
    1e308,
    -1e308,
    2**31,
    2**53 + 1,
    2**70,
    -(2**70),
    10**400,
    "",
    "x" * 300,
    "\x00\r\n",
    "\u0663",
    "127.0.0.1:99999",
    "no address",
    [],
    {},
    [[]],
)

ODD_TEXTS: tuple[bytes, ...] = (
    b"NaN",
    b"-Infinity",
    b"1e999",
    b"9" * 5000,
    b'"\xff"',
    b'"\\ud800"',
    b"[" * DEPTH + b"]" * DEPTH,
    b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    b"",
)

PLACEHOLDER = "a value that is replaced in the text"


class OddDocuments:
    """Draws documents that differ from a sound one in one to three places."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def draw(self, sound: object) -> bytes:
        """Return the bytes of a document that is like ``sound``."""
        document = json.loads(json.dumps(sound))
        odd_text = b""
        for _ in range(self._rng.randint(1, 3)):
            value = self._rng.choice(ODD_VALUES)
            if self._rng.random() < 0.25:
                value = PLACEHOLDER
                odd_text = self._rng.choice(ODD_TEXTS)
            document = self._replace(document, value)
        body = json.dumps(document).encode()
        body = body.replace(json.dumps(PLACEHOLDER).encode(), odd_text)
        return self._damage(body)

    def _replace(self, node: object, value: object) -> object:
        """Return the node with one value in it replaced, removed or repeated."""
        if isinstance(node, dict) and node and self._rng.random() < 0.9:
            key = self._rng.choice(sorted(node))
            if self._rng.random() < 0.1:
                return {name: node[name] for name in node if name != key}
            return {**node, key: self._replace(node[key], value)}
        if isinstance(node, list) and node and self._rng.random() < 0.9:
            index = self._rng.randrange(len(node))
            changed = self._replace(node[index], value)
            return [*node[:index], changed, *node[index + 1 :]]
        return value

    def _damage(self, body: bytes) -> bytes:
        """Return the body, sometimes cut short, or with a byte or key that is odd."""
        kind = self._rng.random()
        at = self._rng.randrange(len(body) + 1)
        if kind < 0.05:
            return body[:at]
        if kind < 0.1:
            return body[:at] + self._rng.randbytes(1) + body[at + 1 :]
        if kind < 0.2 and body.startswith(b'{"'):
            first, _, _ = body[1:].partition(b",")
            return b"{" + first + b"," + body[1:]
        return body
