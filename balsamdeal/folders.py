"""Reads configuration folders, which operators edit."""

from pathlib import Path

from balsamdeal.documents import build_document
from balsamdeal.errors import ContentError
from balsamdeal.snapshots import render_snapshot

SUBFOLDERS = ("services", "templates", "workspaces")


def read_parts(folder):
    """Return the texts of the parts in a folder, by path relative to it.

    Hidden files are skipped.

    :param folder: a path with the folders ``services``, ``templates`` and
        ``workspaces``.
    :raises ContentError: on a missing folder or a file that is not UTF-8.
    """
    root = Path(folder)
    parts = {}
    for name in SUBFOLDERS:
        if not (root / name).is_dir():
            raise ContentError(f"folder {name} is missing", "read", str(root))
        for path in sorted((root / name).iterdir()):
            if path.is_file() and not path.name.startswith("."):
                parts[f"{name}/{path.name}"] = _read_text(path, root)
    return parts


def _read_text(path, root):
    try:
        return path.read_bytes().decode()
    except UnicodeDecodeError as error:
        raise ContentError(
            f"invalid UTF-8 at byte {error.start}", "read", str(path.relative_to(root))
        ) from error


def render_folder(folder):
    """Return the snapshot of a folder, rendered as on a node.

    :param folder: the path.
    :raises ContentError: when any part of it is invalid.
    """
    return render_snapshot(build_document(1, read_parts(folder)))
