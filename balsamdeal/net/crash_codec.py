"""Encoding of what nodes tell each other of crashes, in headers and bodies as JSON.

Times travel as ages, as nodes have no common clock.
"""

import json
import math

from balsamdeal.core.crash_news import CrashNewsReceived
from balsamdeal.core.crashes import CrashReport, LostRun

MAX_AGE_S = 1e6


def _to_ms(duration_s):
    return max(0, round(duration_s * 1000))


def _to_s(milliseconds):
    """Return seconds, not negative.

    :raises ValueError: if the milliseconds are no number of a plausible size.
    """
    value = float(milliseconds) / 1000
    if not math.isfinite(value) or value > MAX_AGE_S:
        raise ValueError("not a duration")
    return max(0.0, value)


def _pack(reports, now_s):
    return [
        [
            report.crash_id,
            _to_ms(now_s - report.at_s),
            report.only_suspect,
            [[run.digest, _to_ms(run.ran_s)] for run in report.runs],
        ]
        for report in reports
    ]


def _unpack(values, now_s):
    return tuple(
        CrashReport(
            str(crash_id),
            now_s - _to_s(age_ms),
            tuple(LostRun(str(digest), _to_s(ran_ms)) for digest, ran_ms, *_ in runs),
            str(only_suspect),
        )
        for crash_id, age_ms, only_suspect, runs, *_ in values
    )


def _encode(value):
    return json.dumps(value, separators=(",", ":"))


def encode_reports(reports, now_s):
    """Return the value of a header that carries ``CrashReport`` objects."""
    return _encode(_pack(reports, now_s))


def decode_reports(text, now_s):
    """Return the ``CrashReport`` objects of a header; none if it is malformed.

    The request beside it counts without them.

    :param text: the header's value, or None.
    """
    if not text:
        return ()
    try:
        return _unpack(json.loads(text), now_s)
    except (ValueError, TypeError, RecursionError):
        return ()


def encode_news(news, now_s):
    """Return the body of a message.

    :param news: a ``SendCrashNews`` or ``AnswerCrashNews``.
    """
    content = {
        "reports": _pack(news.reports, now_s),
        "cleared": [[digest, _to_ms(now_s - at_s)] for digest, at_s in news.cleared],
    }
    if getattr(news, "exchange", False):
        content["exchange"] = 1
    return _encode(content).encode()


def decode_news(body, message_id, now_s):
    """Return the ``CrashNewsReceived`` of a message.

    :param message_id: the id of the message, or None if it is an answer.
    :raises ValueError: if the message is malformed.
    """
    try:
        content = json.loads(body)
        cleared = tuple(
            (str(digest), now_s - _to_s(age_ms))
            for digest, age_ms, *_ in content["cleared"]
        )
        return CrashNewsReceived(
            _unpack(content["reports"], now_s),
            cleared,
            message_id,
            bool(content.get("exchange")),
            now_s,
        )
    except (KeyError, TypeError, AttributeError, RecursionError) as error:
        raise ValueError("malformed news of crashes") from error
