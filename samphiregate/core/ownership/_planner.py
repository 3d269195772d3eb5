"""Determines which entries of a shard table have to change, and when."""

import enum

import attrs

from samphiregate.core import fleet


class Reason(enum.Enum):
    """Reason for which a shard needs another owner.

    Attributes
    ----------
    VACANT
        The shard has no owner.
    DROPPED
        This VM is the owner in the table, but gave the shard up after a
        pause.
    DEAD
        The owner is dead, or has not been a member for `unknown_grace_ms`.
    LEAVING
        The owner is stopping.
    BALANCE
        The owner differs from the assignment.
    """

    VACANT = "vacant"
    DROPPED = "dropped"
    DEAD = "dead"
    LEAVING = "leaving"
    BALANCE = "balance"


@attrs.frozen
class Move:
    """A required change of a shard's owner."""

    number: int
    owner: str
    reason: Reason


class Planner:
    """Compares a shard table with the present (alive or suspect) VMs.

    Parameters
    ----------
    vm_id : str
        This VM.
    membership : Membership
        Its view of the other VMs.
    rendezvous : Rendezvous
        Assigns the shards to the present VMs.
    unknown_grace_ms : int
        Time for which an owner that is not a member is assumed to be
        alive, since the platform's list of VMs lags.
    contested_hold_ms : int
        Time for which a shard stays with an owner that is dead in this
        VM's view, if its entry changed after the owner was declared dead
        here: the VM that wrote the entry did not hold the owner dead.
    settle_ms : int
        Time without a change of the present VMs before shards are
        rebalanced.
    """

    def __init__(
        self,
        *,
        vm_id,
        membership,
        rendezvous,
        unknown_grace_ms,
        contested_hold_ms,
        settle_ms,
    ):
        self.vm_id = vm_id
        self.membership = membership
        self.rendezvous = rendezvous
        self.unknown_grace_ms = unknown_grace_ms
        self.contested_hold_ms = contested_hold_ms
        self.settle_ms = settle_ms
        self._unknown_since_ms_by_vm = {}
        self._present_ids = ()
        self._present_since_ms = 0

    def moves(self, table, owned, changed_ms_by_number, now_ms):
        """Returns the moves that are due now.

        Parameters
        ----------
        table : ShardTable
            The table as this VM holds it.
        owned : container of int
            Numbers of the shards for which this VM acts as the owner.
        changed_by_number : dict
            When this VM last applied a change of each entry, in
            milliseconds.
        now_ms : int
            Time in milliseconds.

        Returns
        -------
        list of Move
        """
        present = self.membership.present_ids(table.data_centre)
        if present != self._present_ids:
            self._present_ids = present
            self._present_since_ms = now_ms
        moves = []
        for number, target in enumerate(self.rendezvous.owners(present)):
            owner = table.entry(number).owner
            changed_ms = changed_ms_by_number.get(number, 0)
            reason = self._reason(owner, target, changed_ms, now_ms)
            if owner == self.vm_id and number not in owned:
                reason = Reason.DROPPED
            if reason is not None:
                moves.append(Move(number, target, reason))
        return moves

    def _reason(self, owner, target, changed_ms, now_ms):
        if not owner:
            return Reason.VACANT
        if not self.membership.has_member(owner):
            since_ms = self._unknown_since_ms_by_vm.setdefault(owner, now_ms)
            if now_ms - since_ms >= self.unknown_grace_ms:
                return Reason.DEAD
            return None
        self._unknown_since_ms_by_vm.pop(owner, None)
        state = self.membership.state_of(owner)
        if state is fleet.PeerState.DEAD:
            return self._reason_if_dead(owner, changed_ms, now_ms)
        if state is fleet.PeerState.LEAVING:
            return Reason.LEAVING
        settled = now_ms - self._present_since_ms >= self.settle_ms
        if owner != target and settled:
            return Reason.BALANCE
        return None

    def _reason_if_dead(self, owner, changed_ms, now_ms):
        dead_since_ms = self.membership.peers_by_id_[owner].since_ms
        contested = changed_ms > dead_since_ms
        if contested and now_ms - changed_ms < self.contested_hold_ms:
            return None
        return Reason.DEAD
