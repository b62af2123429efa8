import pytest

from bronzehold.core import clock
from bronzehold.core import ports
from bronzehold.process import store_news as news_lib

WATCH = news_lib.Read(wait_s=news_lib.WATCH_TIMEOUT_S)
READ_AT_ONCE = news_lib.Read(wait_s=0.0)


def _at(revision, era=0):
    return ports.Position(era=era, revision=revision)


class Proxy:
    """The news of one proxy, with a clock that the test controls."""

    def __init__(self, monkeypatch):
        self.at = 100.0
        self.is_watcher = False
        self.told_peers = 0
        monkeypatch.setattr(clock, "now", lambda: self.at)
        self.news = news_lib.StoreNews(
            is_watcher=lambda: self.is_watcher,
            on_newer_revision=self._tell_peers,
        )
        self.news.note_read(_at(0), self.at)

    def _tell_peers(self):
        self.told_peers += 1

    def hear(self, revision, age_s=0.0, era=0):
        self.news.note_report(
            news_lib.Report(position=_at(revision, era), at=self.at - age_s)
        )


@pytest.fixture(name="proxy")
def _proxy(monkeypatch):
    return Proxy(monkeypatch)


def test_watcher_watches_whatever_its_peers_report(proxy):
    proxy.is_watcher = True
    proxy.hear(7)
    assert proxy.news.next_step(_at(7)) == WATCH


def test_proxy_with_a_recent_report_does_not_ask_the_store(proxy):
    """Answers the pattern of a store whose load grows with the fleet."""
    for _ in range(10):
        proxy.hear(7)
        assert isinstance(proxy.news.next_step(_at(7)), news_lib.Wait)
        proxy.at += 1.0


def test_proxy_reads_a_revision_that_it_lacks_once(proxy):
    proxy.hear(7)
    proxy.hear(8)
    assert proxy.news.next_step(_at(7)) == READ_AT_ONCE
    assert isinstance(proxy.news.next_step(_at(9)), news_lib.Wait)


def test_proxy_without_recent_reports_watches_itself(proxy):
    """A proxy that is cut off from its peers must not miss a change."""
    proxy.hear(7)
    proxy.at += news_lib.MAX_REPORT_AGE_S + 0.1
    assert proxy.news.next_step(_at(7)) == WATCH
    proxy.hear(7)
    assert isinstance(proxy.news.next_step(_at(7)), news_lib.Wait)


def test_old_report_that_peers_pass_on_does_not_become_young(proxy):
    proxy.hear(7, age_s=news_lib.MAX_REPORT_AGE_S + 1.0)
    assert proxy.news.next_step(_at(7)) == WATCH


def test_peer_that_lags_behind_does_not_count(proxy):
    proxy.hear(9)
    proxy.at += news_lib.MAX_REPORT_AGE_S + 0.1
    proxy.hear(8)
    assert proxy.news.next_step(_at(9)) == WATCH


def test_changes_are_read_now_and_then_without_a_report_of_any(proxy):
    proxy.at += news_lib.REREAD_INTERVAL_S * (1 + news_lib.REREAD_JITTER)
    proxy.hear(7)
    assert proxy.news.next_step(_at(7)) == READ_AT_ONCE
    proxy.news.note_read(_at(7), proxy.at)
    assert isinstance(proxy.news.next_step(_at(7)), news_lib.Wait)


def test_only_newer_revisions_are_passed_on_at_once(proxy):
    for revision in (7, 7, 6, 8):
        proxy.hear(revision)
    assert proxy.told_peers == 2


def test_waiting_watch_is_reported_as_of_now(proxy):
    proxy.hear(5, age_s=60.0)
    proxy.news.next_step(_at(9))
    proxy.news.set_watched(_at(7))
    assert proxy.news.report() == news_lib.Report(position=_at(7), at=proxy.at)
    proxy.news.set_watched(None)
    assert proxy.news.report().position == _at(5)


def test_watch_that_missed_a_change_is_not_reported(proxy):
    """Its connection may hang: a peer knows a change that it did not return."""
    proxy.news.next_step(_at(9))
    proxy.news.set_watched(_at(7))
    proxy.hear(12, age_s=0.3)
    assert proxy.news.report() == news_lib.Report(
        position=_at(12), at=proxy.at - 0.3
    )


def test_watchers_find_out_for_all_when_the_store_is_back(proxy):
    interval_s = proxy.news.retry_interval_s()
    proxy.is_watcher = True
    assert proxy.news.retry_interval_s() < interval_s


def test_revision_that_the_store_does_not_have_is_forgotten(proxy):
    """A wrong report must not make a proxy read the store again and again."""
    proxy.hear(7)
    proxy.hear(1 << 60)
    assert proxy.news.next_step(_at(7)) == READ_AT_ONCE
    proxy.news.note_read(_at(7), proxy.at)
    assert proxy.news.next_step(_at(7)) == READ_AT_ONCE, (
        "read before the report"
    )
    proxy.at += 0.1
    proxy.news.note_read(_at(7), proxy.at)
    assert isinstance(proxy.news.next_step(_at(7)), news_lib.Wait)


def test_requested_read_is_made_at_most_once_a_second(proxy):
    proxy.hear(7)
    proxy.news.request_read()
    assert isinstance(proxy.news.next_step(_at(7)), news_lib.Wait), (
        "read just now"
    )
    proxy.at += news_lib.MIN_REQUEST_INTERVAL_S + 0.1
    proxy.hear(7)
    proxy.news.request_read()
    assert proxy.news.next_step(_at(7)) == READ_AT_ONCE
    proxy.news.note_read(_at(7), proxy.at)
    assert isinstance(proxy.news.next_step(_at(7)), news_lib.Wait)


def test_revision_of_an_older_era_is_no_news(proxy):
    """Guards against CONFIG: a report from before a return hid a change.

    The revision 9 was issued again, later than revision 7 of the new era.
    """
    proxy.hear(9)
    proxy.news.next_step(_at(9))
    proxy.news.set_watched(_at(9))
    proxy.news.forget_before(1)
    assert proxy.news.report() is None
    proxy.hear(9)
    assert proxy.news.report() is None
    proxy.hear(7, era=1)
    assert proxy.news.next_step(_at(6, era=1)) == READ_AT_ONCE
    assert proxy.news.report().position == _at(7, era=1)


def test_frozen_proxy_reads_at_once_when_a_peer_knows_a_later_era(proxy):
    """Guards against a proxy that learns of the return last."""
    proxy.is_watcher = True
    proxy.hear(9)
    proxy.news.note_peer_era(1)
    assert proxy.news.next_step(_at(9)) == READ_AT_ONCE


def test_era_that_the_store_does_not_have_does_not_spread(proxy):
    """Guards against a fleet that discards all answers for a wrong number."""
    proxy.hear(7)
    proxy.hear(8, era=1 << 40)
    assert proxy.news.era() == 0
    assert proxy.news.report() is None
    assert proxy.news.next_step(_at(7)) == READ_AT_ONCE
    proxy.at += 0.1
    proxy.news.note_read(_at(7), proxy.at)
    proxy.hear(7)
    assert isinstance(proxy.news.next_step(_at(7)), news_lib.Wait)


def test_peers_are_told_of_the_era_that_the_store_has(proxy):
    proxy.news.forget_before(1)
    assert proxy.news.era() == 1
    assert proxy.told_peers == 1


def test_configuration_is_confirmed_by_own_reads_and_by_reports(proxy):
    """Guards against keys that are trusted long after their revocation."""
    proxy.news.next_step(_at(7))
    proxy.at += 10.0
    assert not proxy.news.is_confirmed(5.0)
    proxy.hear(7, age_s=1.0)
    assert proxy.news.is_confirmed(5.0)
    proxy.at += 4.5
    assert not proxy.news.is_confirmed(5.0)
    proxy.news.note_read(_at(7), proxy.at)
    assert proxy.news.is_confirmed(5.0)


def test_report_of_a_change_that_is_not_known_confirms_nothing(proxy):
    proxy.news.next_step(_at(7))
    proxy.at += 10.0
    proxy.hear(8)
    assert not proxy.news.is_confirmed(5.0)
