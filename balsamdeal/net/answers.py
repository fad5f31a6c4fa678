"""Tells a target's whole own answer from everything else that may arrive."""

from balsamdeal.errors import ExchangeError

MISDIRECTED = 421


def make_owner_check(names, request_id):
    """Return a function that tells whether an answer belongs to a request.

    :param names: the ``HeaderNames`` of the deployment.
    :param request_id: the id that the target echoes.
    """

    def is_own(status, headers):
        echoed = headers.get(names.request_id)
        if echoed is None:
            # Only what says that nothing was run may lack the id.
            return status == MISDIRECTED or names.declined in headers
        return echoed == request_id

    return is_own


def check_answer(response, names, address):
    """Refuse bytes that cannot be the target's answer.

    :param response: the ``connections.Response``.
    :param names: the ``HeaderNames`` of the deployment.
    :param address: the target's address, for errors.
    :raises ExchangeError: with what gives them away.
    """
    if "Content-Encoding" in response.headers:
        raise ExchangeError("encoded answer", "encoding", address, True)
    success = 200 <= response.status < 300
    if success and names.seal not in response.headers:
        raise ExchangeError("success without a seal", "seal", address, True)
    if 300 <= response.status < 400 or response.status < 200:
        raise ExchangeError(f"status {response.status}", "status", address, True)
