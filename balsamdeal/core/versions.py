"""Versions of one document that a node holds: the newest, and some before it."""

from dataclasses import dataclass, field

from balsamdeal.documents import NO_VERSION, apply_delta, compute_delta

HISTORY_LENGTH = 8
REJECTED_LENGTH = 8


@dataclass(slots=True)
class Versions:
    """The document in force, what it replaced, and what was found bad."""

    document: object = None
    applied_s: float = 0.0
    history: list = field(default_factory=list)
    rejected: dict = field(default_factory=dict)

    @property
    def version(self):
        """The version in force, or NO_VERSION."""
        return NO_VERSION if self.document is None else self.document.version

    def is_news(self, version):
        """Return whether a version is newer than the one in force, and not bad."""
        return version > self.version and version not in self.rejected

    def find(self, version):
        """Return the remembered document of a version, or None."""
        for document in self.history:
            if document.version == version:
                return document
        return None

    def keep(self, document, now_s):
        """Take a document that is in force from now on."""
        self.document = document
        self.applied_s = now_s
        self.history = [document, *self.history][:HISTORY_LENGTH]

    def reject(self, version, reason):
        """Remember a version as bad, and forget the oldest of many."""
        self.rejected[version] = reason
        while len(self.rejected) > REJECTED_LENGTH:
            del self.rejected[min(self.rejected)]

    def make_delta(self, base):
        """Return the delta from a version to the one in force.

        :param base: the version; one that is not remembered gets a whole document.
        """
        return compute_delta(self.find(base), self.document)

    def merge(self, delta):
        """Return the document that a delta leads to.

        :raises DocumentError: when its base is not remembered or the digest differs.
        """
        return apply_delta(self.find(delta.base), delta)
