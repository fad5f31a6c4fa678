"""Checks that a response comes from the target and belongs to the request.

Also reads what the target says of itself in a response.
"""

import math

from balsamdeal.core.request_events import NO_NOTICE, TargetNotice
from balsamdeal.errors import ExchangeError

MISDIRECTED = 421
LEAVING = "1"


def make_request_id_check(names, request_id):
    """Return a predicate of an answer: whether it is to a request.

    It takes the status, the headers, and whether the connection has been used before.

    :param names: the ``HeaderNames`` of the deployment.
    :param request_id: the id of the request, which the target echoes in its answer.
    """

    def matches_request(status, headers, reused):
        echoed = headers.get(names.request_id)
        if echoed is None:
            # Only answers that say that the request was not run may lack the id. On a
            # connection in use again, it may be a copy of an earlier one.
            not_run = status == MISDIRECTED or names.declined in headers
            return not_run and not (reused and request_id)
        return echoed == request_id

    return matches_request


def check_answer(response, names, address):
    """Raise an error if a response cannot have been produced by the target.

    :param response: the ``connections.Response``.
    :param names: the ``HeaderNames`` of the deployment.
    :param address: the target's address, for errors.
    :raises ExchangeError: its ``step`` names the property that shows it, such as
        ``seal``.
    """
    if "Content-Encoding" in response.headers:
        raise ExchangeError("answer has a content encoding", "encoding", address, True)
    success = 200 <= response.status < 300
    if success and names.declined in response.headers:
        raise ExchangeError(
            "successful answer that says that nothing ran", "declined", address, True
        )
    if success and names.seal not in response.headers:
        raise ExchangeError("successful answer without a seal", "seal", address, True)
    if 300 <= response.status < 400 or response.status < 200:
        raise ExchangeError(f"status {response.status}", "status", address, True)


def read_notice(pairs, names):
    """Return the ``TargetNotice`` in the headers of an answer.

    :param pairs: pairs of header name and value.
    :param names: the ``HeaderNames`` of the deployment.
    """
    limit_name, leaving_name = names.requests_per_s.lower(), names.leaving.lower()
    limit, leaving = None, False
    for name, value in pairs:
        name = name.lower()
        if name == limit_name:
            limit = value
        elif name == leaving_name:
            leaving = value.strip() == LEAVING
    if limit is None and not leaving:
        return NO_NOTICE
    return TargetNotice(limit is not None, parse_rate(limit), leaving)


def parse_rate(text):
    """Return a rate of zero or more, or None where the text is missing or no rate."""
    try:
        value = float(text)
    except (TypeError, ValueError):
        return None
    return value if math.isfinite(value) and value >= 0 else None
