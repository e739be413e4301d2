from __future__ import annotations

from nose2.tools import params

from knapweeddrum.core.placing.load_report import LoadReport
from knapweeddrum.http.header_list import HeaderList
from knapweeddrum.http.raw_reply_head import RawReplyHead
from knapweeddrum.platform.endpoint_protocol import EndpointReplyHead, decode_reply_head
from knapweeddrum.value.body_framing import BodyFraming

MALFORMED = (b"1,2", b"1,2,3,4,5", b"1,,3", b"-1,0,8", b"1,0,8,x", b"1,0,8,1.5")


def decode(value: bytes) -> EndpointReplyHead:
    headers = HeaderList([(b"Server-Load", value)])
    return decode_reply_head(RawReplyHead(200, headers, BodyFraming.LENGTH))


def test_load_report_with_a_fourth_figure_is_not_lost():
    """The fourth figure tells how long work takes, 100 for the usual time."""
    assert decode(b"3,1,64,250").load == LoadReport(3, 1, 64, 2.5)
    assert decode(b"3, 1, 64, 100").load == LoadReport(3, 1, 64, 1.0)


def test_load_report_of_three_figures_tells_no_work_time():
    """Its services are served as before."""
    assert decode(b"3,1,64").load == LoadReport(3, 1, 64, None)


@params(*MALFORMED)
def test_load_report_that_cannot_be_read_is_told_apart_from_none(value: bytes):
    """It is counted, as an endpoint without a report is not at fault."""
    head = decode(value)
    assert head.load is None
    assert head.has_malformed_load


def test_answer_without_a_load_report_is_not_malformed():
    """Endpoints of some services report none."""
    assert not decode(b"").has_malformed_load
