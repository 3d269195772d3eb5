"""Links between nodes in virtual time, with their faults."""

import attrs


@attrs.define
class LinkFaults:
    """What is wrong with all links between entry VMs now.

    Probabilities are between 0 and 1, times in milliseconds.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reorder_ms: int = 0
    late: float = 0.0
    late_ms: int = 0


class VirtualNetwork:
    """Delivers peer messages, unless a fault says otherwise.

    Parameters
    ----------
    loop : VirtualLoop
        Source of time.
    random_state : random.Random
        Source of randomness.
    """

    def __init__(self, *, loop, random_state):
        self.loop = loop
        self.random_state = random_state
        self.faults = LinkFaults()
        self.nodes_by_id = {}
        self.cut_links = set()
        self.on_send = None

    def send(self, sender, recipient, event):
        """Sends an event from one node to another, without a promise."""
        if self.on_send is not None:
            self.on_send(sender, recipient, event)
        copies = 1
        if self.random_state.random() < self.faults.duplication:
            copies = 2
        for _ in range(copies):
            if self.random_state.random() >= self.faults.loss:
                self._send_copy(sender, recipient, event)

    def _send_copy(self, sender, recipient, event):
        delay_ms = self.random_state.randint(1, 3)
        if self.faults.reorder_ms:
            delay_ms += self.random_state.randint(0, self.faults.reorder_ms)
        if self.random_state.random() < self.faults.late:
            delay_ms += self.faults.late_ms
        self.loop.after(delay_ms, self._arrive, sender, recipient, event)

    def _arrive(self, sender, recipient, event):
        if (sender, recipient) in self.cut_links:
            return
        node = self.nodes_by_id.get(recipient)
        if node is not None:
            node.deliver(event)

    def cut(self, senders, recipients, both=True):
        """Cuts the links between two groups of nodes."""
        for sender in senders:
            for recipient in recipients:
                self.cut_links.add((sender, recipient))
                if both:
                    self.cut_links.add((recipient, sender))

    def heal(self):
        """Ends every fault."""
        self.cut_links.clear()
        self.faults = LinkFaults()
