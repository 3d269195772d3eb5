"""Membership: which entry VMs are alive, suspect, leaving or dead.

Within a data centre each VM probes one other VM at a time, in a shuffled
ring, first directly and then indirectly through other VMs; a suspect VM has
time to refute. Between data centres two representatives probe one VM at a
time. Membership updates are piggybacked on the probes. The cost per VM does
not depend on the size of the fleet.

References
----------
A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", DSN 2002.
"""

from samphiregate.core.membership._membership import Membership
from samphiregate.core.membership._messages import Ack
from samphiregate.core.membership._messages import IndirectPing
from samphiregate.core.membership._messages import Ping
from samphiregate.core.membership._messages import Rumour

__all__ = ["Ack", "IndirectPing", "Membership", "Ping", "Rumour"]
