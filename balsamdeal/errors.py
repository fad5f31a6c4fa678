"""The exception tree; every error names the step and the peer where it arose."""


class BalsamdealError(Exception):
    """Base of all errors of the package.

    :param message: what is wrong, and what to do about it.
    :param step: the step that failed, such as ``connect`` or ``render``.
    :param peer: the address, file or part that it concerns.
    """

    def __init__(self, message, step="", peer=""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self):
        return f"step={self.step} peer={self.peer}: {self.message}"


class SettingsError(BalsamdealError):
    """The settings cannot be used; ``faults`` lists every reason at once."""

    def __init__(self, faults):
        super().__init__("; ".join(faults), step="settings", peer="command line")
        self.faults = faults


class ContentError(BalsamdealError):
    """A configuration cannot be rendered; a pure function of its content."""


class DocumentError(BalsamdealError):
    """A document or delta does not have the digest that it was announced with."""


class ExchangeError(BalsamdealError):
    """An HTTP exchange failed.

    ``written`` tells whether any byte of the request may have reached the peer.
    """

    def __init__(self, message, step, peer, written):
        super().__init__(message, step, peer)
        self.written = written


class SourceError(BalsamdealError):
    """The configuration source or the VM list could not be read."""


class HistoryLostError(SourceError):
    """The source no longer has the changes since a revision; read all of it."""
