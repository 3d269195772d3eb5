"""Replica of the configuration on one entry VM."""

from samphiregate.core import base
from samphiregate.core.configuration import _dissemination
from samphiregate.core.configuration import _documents
from samphiregate.core.configuration import _freshness
from samphiregate.core.configuration import _history
from samphiregate.core.configuration import _messages
from samphiregate.core import fleet
from samphiregate.core import model
from samphiregate.core import store
from samphiregate import errors
from samphiregate import parameters

DAY_MS = 86_400_000
_NO_CONFIGURATION = model.Configuration()


class ConfigurationReplica(base.StateMachine, parameters.Parameterised):
    """Holds the highest revision received from the store or a peer.

    The alive VMs of a data centre with the lowest ids watch the store and
    notify the others. Every VM periodically compares its revision with that
    of a random peer; this anti-entropy repairs lost updates and reaches data
    centres that are cut off from the store.

    Parameters
    ----------
    vm_id : str
        Id of this entry VM.
    data_centre : str
        Data centre of this entry VM.
    membership : Membership
        Provides the ids of the peers that are alive.
    random_state : random.Random
        Random number generator.
    spread : str
        ``direct``: a VM that receives a change from outside its data
        centre notifies all VMs inside. ``gossip``: a VM that receives a
        change notifies `fanout` random VMs of the fleet.
    fanout : int
        Number of VMs that each VM notifies under ``gossip``.
    watchers : int
        Number of VMs in each data centre that watch the store, besides
        those whose configuration is older than `watch_without_news_ms`.
    compare_interval_ms : int
        Mean time between two comparisons with a random peer.
    check_interval_ms : int
        Mean time between two reads of the head by a VM that watches it or
        has no configuration yet. Each successful read confirms the
        configuration, also if the head has not changed.
    watch_without_news_ms : int
        A VM whose configuration has not been confirmed for this long
        watches the store itself.
    keys_valid_without_news_ms : int
        A VM that reaches neither the store nor a peer in contact with it
        continues to accept its present keys for this long and then refuses
        all keys.
    settle_ms : int
        After its start a VM uses an empty configuration, because its first
        read of the store may be stale, until its revision is at least that
        of a peer which replied, but for at most this long.

    Attributes
    ----------
    watching_ : bool
        Whether this VM watches the store.
    unreadable_documents_ : int
        Number of documents from the store that were invalid and ignored.
    """

    parameter_table = {
        "spread": parameters.Choice(_dissemination.DISSEMINATIONS),
        "fanout": parameters.Interval(int, 1, 64),
        "watchers": parameters.Interval(int, 1, 1_000),
        "compare_interval_ms": parameters.Interval(int, 50, 60_000),
        "check_interval_ms": parameters.Interval(int, 500, 600_000),
        "watch_without_news_ms": parameters.Interval(int, 500, 600_000),
        "keys_valid_without_news_ms": parameters.Interval(
            int, 1_000, 30 * DAY_MS
        ),
        "settle_ms": parameters.Interval(int, 0, 60_000),
    }

    def __init__(
        self,
        *,
        vm_id,
        data_centre,
        membership,
        random_state,
        spread="direct",
        fanout=3,
        watchers=1,
        compare_interval_ms=1_000,
        check_interval_ms=3_000,
        watch_without_news_ms=9_000,
        keys_valid_without_news_ms=14_400_000,
        settle_ms=2_000,
    ):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.spread = spread
        self.fanout = fanout
        self.watchers = watchers
        self.compare_interval_ms = compare_interval_ms
        self.check_interval_ms = check_interval_ms
        self.watch_without_news_ms = watch_without_news_ms
        self.keys_valid_without_news_ms = keys_valid_without_news_ms
        self.settle_ms = settle_ms
        self.check_parameters()
        self._random = random_state
        self._dissemination = _dissemination.DISSEMINATIONS[spread](
            vm_id=vm_id,
            data_centre=data_centre,
            membership=membership,
            random_state=random_state,
            fanout=fanout,
            watchers=watchers,
        )
        self._history = _history.History()
        self._head = _documents.Head()
        self._next_call_id = 0
        self._sent_ms_by_read = {}
        self._next_compare_ms = None
        self._next_check_ms = None
        self._freshness = _freshness.Freshness(
            max_age_ms=keys_valid_without_news_ms,
            settle_ms=settle_ms,
        )
        self.watching_ = False
        self.unreadable_documents_ = 0

    @property
    def configuration(self):
        """The current configuration; an empty one until settled."""
        if not self.settled:
            return _NO_CONFIGURATION
        return self._history.configuration

    @property
    def news_age_ms(self):
        """Time in ms since the store last confirmed the configuration.

        The confirmation may be received directly or through peers. Counted
        from the VM's start if that is later; 0 before the start.
        """
        return self._freshness.age_ms

    @property
    def is_expired(self):
        """Whether the configuration is so old that all keys are refused.

        That is, older than `keys_valid_without_news_ms`.
        """
        return self._freshness.is_expired

    @property
    def settled(self):
        """Whether this VM caught up with a peer or waited `settle_ms`."""
        return self._freshness.settled

    @property
    def can_verify_keys(self):
        """Whether the VM is settled and its configuration not expired."""
        return self.settled and not self.is_expired

    def team_for_key_hash(self, key_hash):
        """Returns the team of a key.

        Returns
        -------
        str or None
            None for a key that is unknown or withdrawn or whose team is not
            configured, and for any key while `can_verify_keys` is false.
        """
        if not self.can_verify_keys:
            return None
        return self._history.team_for_key_hash(key_hash)

    def handle(self, event, now_ms):
        """Handles one event; see `StateMachine.handle`."""
        before = self.configuration.revision
        self._freshness.update_time(now_ms)
        actions = self._handle(event, now_ms)
        if self.configuration.revision != before:
            changed = fleet.ConfigurationChanged(self.configuration)
            actions.insert(0, base.Notify(changed))
        return actions

    @base.singledispatchmethod
    def _handle(self, event, now_ms):
        return []

    @_handle.register
    def _on_tick(self, event: base.Tick, now_ms):
        if self._next_compare_ms is None:
            return self._start(now_ms)
        actions = self._update_watch()
        if now_ms >= self._next_compare_ms:
            self._next_compare_ms = now_ms + self._jittered(
                self.compare_interval_ms
            )
            actions += self._compare_with_peer(now_ms)
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + self._jittered(
                self.check_interval_ms
            )
            if self.watching_ or not self._history.revision:
                actions += self._read(_documents.HEAD_KEY, now_ms)
        return actions

    @_handle.register
    def _on_key_changed(self, event: store.KeyChanged, now_ms):
        if event.key != _documents.HEAD_KEY:
            return []
        # Unlike a successful read, a change does not confirm the
        # configuration.
        return self._apply_head(event.value, now_ms)

    @_handle.register
    def _on_store_answered(self, event: store.StoreAnswered, now_ms):
        sent_ms = self._sent_ms_by_read.pop((event.key, event.call_id), None)
        if sent_ms is None or event.outcome is not store.StoreOutcome.OK:
            return []
        self._freshness.record_confirmation(sent_ms)
        if event.key == _documents.HEAD_KEY:
            return self._apply_head(event.value, now_ms)
        return self._apply_snapshot(event.value, now_ms)

    @_handle.register
    def _on_peer(self, event: base.PeerDelivered, now_ms):
        return self._on_message(event.message, event.sender, now_ms)

    @base.singledispatchmethod
    def _on_message(self, message, sender, now_ms):
        return []

    @_on_message.register
    def _on_delta(self, message: _messages.ConfigurationDelta, sender, now_ms):
        before = self._history.revision
        if self._history.apply_edits(message.edits):
            return self._notify_peers(before, source=sender)
        return [self._digest_to(sender, now_ms)]

    @_on_message.register
    def _on_snapshot(
        self, message: _messages.ConfigurationSnapshot, sender, now_ms
    ):
        before = self._history.revision
        self._history.apply_snapshot(message.configuration)
        return self._notify_peers(before, source=sender)

    @_on_message.register
    def _on_digest(
        self, message: _messages.ConfigurationDigest, sender, now_ms
    ):
        if message.is_reply:
            self._freshness.record_confirmation(
                message.asked_ms - message.news_age_ms
            )
            if message.revision <= self._history.revision:
                self._freshness.mark_caught_up()
            actions = []
        else:
            actions = [base.SendToPeer(sender, self._reply_to(message))]
        if message.revision < self._history.revision:
            update = self._update_since(message.revision)
            actions.append(base.SendToPeer(sender, update))
        return actions

    def _start(self, now_ms):
        self._freshness.start()
        self._next_compare_ms = now_ms
        self._next_check_ms = now_ms + self._jittered(self.check_interval_ms)
        actions = self._read(_documents.HEAD_KEY, now_ms)
        return actions + self._update_watch()

    def _update_watch(self):
        is_stale = self.news_age_ms > self.watch_without_news_ms
        should_watch = (
            is_stale or self.vm_id in self._dissemination.watcher_ids()
        )
        if should_watch == self.watching_:
            return []
        self.watching_ = should_watch
        return [store.WatchKey(_documents.HEAD_KEY, active=should_watch)]

    def _compare_with_peer(self, now_ms):
        peer_id = self._dissemination.random_peer()
        return [self._digest_to(peer_id, now_ms)] if peer_id else []

    def _digest_to(self, peer_id, now_ms):
        digest = _messages.ConfigurationDigest(
            revision=self._history.revision, asked_ms=now_ms
        )
        return base.SendToPeer(peer_id, digest)

    def _reply_to(self, digest):
        return _messages.ConfigurationDigest(
            revision=self._history.revision,
            asked_ms=digest.asked_ms,
            is_reply=True,
            news_age_ms=self.news_age_ms,
        )

    def _update_since(self, revision):
        edits = self._history.edits_after(revision)
        if edits is None:
            return _messages.ConfigurationSnapshot(self._history.configuration)
        return _messages.ConfigurationDelta(edits)

    def _apply_head(self, value, now_ms):
        try:
            head = _documents.decode_head(value)
        except errors.BadInputError:
            self.unreadable_documents_ += 1
            return []
        if head.revision <= self._history.revision:
            return []
        before = self._history.revision
        self._history.apply_edits(head.edits)
        if self._history.revision >= head.revision:
            return self._notify_peers(before)
        self._head = head
        return self._read(_documents.SNAPSHOT_KEY, now_ms)

    def _apply_snapshot(self, value, now_ms):
        try:
            configuration = _documents.decode_configuration(value)
        except errors.BadInputError:
            self.unreadable_documents_ += 1
            return []
        before = self._history.revision
        self._history.apply_snapshot(configuration)
        self._history.apply_edits(self._head.edits)
        if self._history.revision < self._head.revision:
            # Snapshot and edits do not reach the head's revision, for example
            # after a stale read of the snapshot. If the next check reads the
            # head again, the snapshot is read again too.
            self._next_check_ms = now_ms + self.compare_interval_ms
        return self._notify_peers(before)

    def _notify_peers(self, before, source=None):
        if self._history.revision == before:
            return []
        update = self._update_since(before)
        return [
            base.SendToPeer(peer_id, update)
            for peer_id in self._dissemination.peers_to_notify(source)
        ]

    def _read(self, key, now_ms):
        self._next_call_id += 1
        call_id = self._next_call_id
        self._sent_ms_by_read[key, call_id] = now_ms
        return [store.ReadKey(call_id, key)]

    def _jittered(self, interval_ms):
        return round(interval_ms * self._random.uniform(0.75, 1.25))
