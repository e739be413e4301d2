from __future__ import annotations

from knapweeddrum.core.directory.peer_contacts import (
    CONTACT_LIFETIME_SECONDS,
    PeerContacts,
)
from knapweeddrum.message.call.sighting import Sighting


def test_contact_ends_without_news():
    """A host that is heard of no more is out of contact."""
    contacts = PeerContacts()
    contacts.record("b", "b/1", 10.0)
    assert contacts.names(10.0 + CONTACT_LIFETIME_SECONDS) == {"b"}
    assert contacts.names(10.1 + CONTACT_LIFETIME_SECONDS) == frozenset()


def test_sighting_does_not_get_younger_however_often_it_is_told():
    """Else hosts would keep an ended one alive by telling each other of it."""
    one, other = PeerContacts(), PeerContacts()
    one.record("b", "b/1", 10.0)
    for step in range(1, 30):
        at = 10.0 + step / 10
        other.merge(one.sightings(at), at)
        one.merge(other.sightings(at), at)
    assert one.names(13.0) == frozenset()
    assert other.sightings(13.0) == ()


def test_newest_sighting_counts():
    """Whoever told it."""
    contacts = PeerContacts()
    contacts.record("b", "b/1", 10.0)
    contacts.merge([Sighting("b", "b/1", 5.0), Sighting("c", "c/1", 0.5)], 11.0)
    assert contacts.sightings(11.0) == (
        Sighting("b", "b/1", 1.0),
        Sighting("c", "c/1", 0.5),
    )
