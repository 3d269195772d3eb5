"""The drains of data centres that operators have requested.

Every VM watches the requests together with the configuration, so that each
knows them when it takes the cell. The watch of the owner can be silent for
seconds, so the VMs that monitor the owner's process also tell it of each
request that they see, and tell a new owner of all that they know.
"""

import contextlib

import attrs

from samphiregate.core import cells


@attrs.frozen
class DrainRequest:
    """The latest known request about a data centre.

    Parameters
    ----------
    data_centre : str
    revision : int
        Store revision of the request, or of its removal.
    drained : bool
        False once the data centre was taken back.
    """

    data_centre: str
    revision: int
    drained: bool


class DrainRequests:
    """Holds the drain requests that this VM knows.

    Parameters
    ----------
    cell : str
    decode_key : callable
        Takes a key; returns the data centre that it drains, or None.
    on_change : callable
        Called after the set of drained data centres has changed.
    log : DecisionLog

    Attributes
    ----------
    known : tuple of DrainRequest
    """

    def __init__(self, *, cell, decode_key, on_change, log):
        self._cell = cell
        self._decode_key = decode_key
        self._on_change = on_change
        self._log = log
        self._read_by_name = {}
        self._noticed_by_name = {}
        self._read_upto = 0

    @property
    def known(self):
        """The latest request about each data centre."""
        latest_by_name = dict(self._read_by_name)
        for name, noticed in self._noticed_by_name.items():
            read = latest_by_name.get(name)
            if read is None or read.revision < noticed.revision:
                latest_by_name[name] = noticed
        return tuple(latest_by_name.values())

    @property
    def data_centres(self):
        """Names of the drained data centres."""
        return frozenset(one.data_centre for one in self.known if one.drained)

    def apply_change(self, change):
        """Applies a `StoreChange` of any key that operators write.

        Returns
        -------
        DrainRequest or None
            The request, if the key is one and it was not known.
        """
        name = self._decode_key(change.key)
        if name is None:
            return None
        drained = change.item is not None
        request = DrainRequest(name, change.revision, drained)
        is_new = self._is_new(request)
        with self._noting_changes("the store"):
            self._read_by_name[name] = request
        return request if is_new else None

    def read_upto(self, revision):
        """Notes that the watch has applied all changes up to a revision.

        What it has not shown by then is not so, whatever a notice said.
        """
        self._read_upto = max(self._read_upto, revision)
        with self._noting_changes("the store"):
            self._noticed_by_name = {
                name: request
                for name, request in self._noticed_by_name.items()
                if request.revision > self._read_upto
            }

    def answer_notice(self, message):
        """Answers `DrainWasRequested`."""
        request = DrainRequest(
            message.data_centre, message.revision, message.drained
        )
        if request.revision > self._read_upto and self._is_new(request):
            with self._noting_changes("another VM"):
                self._noticed_by_name[request.data_centre] = request
        return cells.NoticeTaken()

    def to_notice(self, request):
        """Returns the message that tells another VM of a request."""
        return cells.DrainWasRequested(
            self._cell, request.data_centre, request.revision, request.drained
        )

    def _is_new(self, request):
        """Whether nothing as late is known of the data centre."""
        return all(
            known.revision < request.revision
            for known in self.known
            if known.data_centre == request.data_centre
        )

    @contextlib.contextmanager
    def _noting_changes(self, source):
        """Logs and tells what a block changes of the drained data centres."""
        before = self.data_centres
        yield
        after = self.data_centres
        revision_by_name = {
            one.data_centre: one.revision for one in self.known
        }
        for name in sorted(after ^ before):
            self._log.write(
                "drain requested" if name in after else "drain withdrawn",
                data_centre=name,
                revision=revision_by_name.get(name, self._read_upto),
                source=source,
            )
        if after != before:
            self._on_change()
