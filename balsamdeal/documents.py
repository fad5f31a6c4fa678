"""Versioned documents: named parts with content hashes, and deltas between them.

Each channel distributes one document. The channel ``config`` carries templates,
workspaces and services; the channel ``vms`` carries the VM list, one part for each
failure domain, so that changes of VMs do not resend templates.
"""

import hashlib
import json
from dataclasses import dataclass

from balsamdeal.errors import DocumentError

CONFIG = "config"
VMS = "vms"
CHANNELS = (CONFIG, VMS)
DIGEST_LENGTH = 32  # hexadecimal digits, 128 bits


@dataclass(frozen=True, order=True, slots=True)
class Version:
    """Identity of a document: the source's revision, then the content's digest.

    The order is total: if a faulty source publishes two contents under one revision,
    all nodes choose the same one.
    """

    revision: int
    digest: str


NO_VERSION = Version(0, "")


@dataclass(frozen=True, slots=True)
class Document:
    """A complete version: ``parts`` maps part names to text, ``hashes`` to digests."""

    version: Version
    parts: dict[str, str]
    hashes: dict[str, str]


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes from ``base`` to ``version``; ``base`` None means a whole document.

    ``changed`` maps names of added and changed parts to their text.
    """

    base: Version | None
    version: Version
    changed: dict[str, str]
    removed: tuple[str, ...]


def hash_content(content):
    """Return the hexadecimal digest of a part's text.

    :param content: the text of the part.
    """
    return hashlib.sha256(content.encode()).hexdigest()[:DIGEST_LENGTH]


def digest_hashes(hashes):
    """Return the digest of the document whose parts have these hashes.

    :param hashes: hashes by part name.
    """
    return hash_content(json.dumps(hashes, sort_keys=True, separators=(",", ":")))


def build_document(revision, parts, known=None):
    """Return the document that consists of these parts.

    :param revision: the source's revision of the parts.
    :param parts: texts by part name.
    :param known: an earlier document, whose hashes are reused for equal parts, or None.
    """
    hashes = {}
    for name in sorted(parts):
        content = parts[name]
        if known is not None and known.parts.get(name) == content:
            hashes[name] = known.hashes[name]
        else:
            hashes[name] = hash_content(content)
    return Document(Version(revision, digest_hashes(hashes)), dict(parts), hashes)


def compute_delta(base, document):
    """Return the delta from ``base`` to ``document``.

    :param base: the receiver's document; None for a delta with all parts.
    :param document: the document that the delta leads to.
    """
    if base is None:
        return Delta(None, document.version, dict(document.parts), ())
    changed = {
        name: content
        for name, content in document.parts.items()
        if base.hashes.get(name) != document.hashes[name]
    }
    removed = tuple(sorted(set(base.parts) - set(document.parts)))
    return Delta(base.version, document.version, changed, removed)


def apply_delta(base, delta):
    """Return the document that results from a delta, verified by its digest.

    :param base: the document held, whose version must be the delta's base; not used
        if the delta has no base.
    :param delta: the delta received.
    :raises DocumentError: when the base or the resulting digest differs.
    """
    if delta.base is not None and (base is None or base.version != delta.base):
        raise DocumentError("the delta has another base", "apply", str(delta.version))
    parts = {} if delta.base is None else dict(base.parts)
    for name in delta.removed:
        parts.pop(name, None)
    parts.update(delta.changed)
    document = build_document(delta.version.revision, parts, base)
    if document.version != delta.version:
        raise DocumentError("the digest differs", "apply", str(delta.version))
    return document
