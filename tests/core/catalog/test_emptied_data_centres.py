from __future__ import annotations

from knapweeddrum.core.catalog.emptied_data_centres import EmptiedDataCentres
from knapweeddrum.value.store_position import store_position
from knapweeddrum.value.told_data_centre import ToldDataCentre

ERA = 2


def _emptied() -> EmptiedDataCentres:
    emptied = EmptiedDataCentres()
    assert emptied.apply("b", store_position(ERA, 5), is_emptied=True, now=1.0)
    return emptied


def test_listing_of_an_older_copy_takes_no_data_centre_back():
    """A copy from before the record lacks it; its offsets may be higher or lower."""
    emptied = _emptied()
    assert emptied.apply_listing(set(), store_position(ERA + 1, 3), 2.0) == []
    assert emptied.apply_listing(set(), store_position(ERA + 1, 9), 3.0) == []
    assert emptied.is_emptied("b")
    assert emptied.emptied_since() == {"b": 1.0}
    removal = store_position(ERA + 1, 10)
    assert emptied.apply("b", removal, is_emptied=False, now=4.0)
    assert not emptied.is_emptied("b")


def test_listing_that_ends_before_the_record_takes_no_data_centre_back():
    """A store that tells no era may lose history too."""
    emptied = _emptied()
    assert emptied.apply_listing(set(), store_position(ERA, 4), 2.0) == []
    assert emptied.is_emptied("b")


def test_listing_takes_a_data_centre_back_whose_removal_has_expired():
    """The removal is in no listing, and its record was not read in time."""
    emptied = _emptied()
    assert emptied.apply_listing(set(), store_position(ERA, 8), 2.0) == ["b"]
    assert not emptied.is_emptied("b")


def test_removal_that_comes_before_its_record_counts():
    """Another host tells of the removal before this one reads the record."""
    emptied = EmptiedDataCentres()
    told = ToldDataCentre("b", store_position(ERA, 6), False)
    assert emptied.merge([told], 1.0) == [told]
    record = store_position(ERA, 5)
    assert not emptied.apply("b", record, is_emptied=True, now=2.0)
    assert not emptied.is_emptied("b")


def test_host_that_starts_after_a_return_learns_from_the_others():
    """Its listing of the new era lacks the record."""
    starting = EmptiedDataCentres()
    starting.record_read(store_position(ERA + 1, 3))
    told = _emptied().told()
    assert starting.merge(told, 2.0) == list(told)
    assert starting.is_emptied("b")


def test_late_word_of_a_host_that_was_cut_off_empties_nothing():
    """Its heartbeat stays in the store after the data centre was taken back."""
    starting = EmptiedDataCentres()
    starting.record_read(store_position(ERA, 8))
    assert starting.merge(_emptied().told(), 2.0) == []
    assert not starting.is_emptied("b")


def test_host_that_starts_after_a_removal_is_told_of_it():
    """Its listing has neither record, and the entries that it reads may be older."""
    starting = EmptiedDataCentres()
    starting.record_read(store_position(ERA, 8))
    removal = ToldDataCentre("b", store_position(ERA, 7), False)
    assert starting.merge([removal], 2.0) == [removal]
    assert not starting.is_emptied("b")
