"""How much longer a task takes away from its data or from its gang."""

import attrs


@attrs.frozen
class DataLocality:
    """Tells how a run's place changes its run time.

    Parameters
    ----------
    far_x : float
        How many times as long a task takes on another rack than that of its
        data, and a gang with `same_rack` on more than one rack.
    """

    far_x: float = 1.0

    @property
    def matters(self):
        """Whether a run takes longer anywhere than elsewhere."""
        return self.far_x > 1.0

    def factor(self, step, endpoint):
        """Returns how many times as long a task takes on an endpoint."""
        if not self.matters or not step.rack or endpoint.rack == step.rack:
            return 1.0
        return self.far_x

    def gang_factor(self, step, endpoints):
        """Returns how many times as long a gang takes on endpoints.

        Its members end together, so the slowest place counts for all.
        """
        if step.rack and any(one.rack != step.rack for one in endpoints):
            return self.far_x
        if step.same_rack and len({one.rack for one in endpoints}) > 1:
            return self.far_x
        return 1.0
