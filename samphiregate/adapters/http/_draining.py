"""A WSGI server that answers the requests it has read before it stops."""

import time

import gevent

from samphiregate.adapters.http import _bounded

POLL_S = 0.01


class DrainingServer(_bounded.BoundedServer):
    """A WSGI server that can stop without cutting a request short."""

    def drain(self, *, read_s, answer_s):
        """Accepts no more, closes idle connections and answers the others.

        Parameters
        ----------
        read_s : float
            Longest wait for the rest of a request that was read in part.
        answer_s : float
            Longest wait for the answers to whole requests.

        Returns
        -------
        int
            Number of whole requests that are not answered.
        """
        self.closes_after_answer = True
        self.is_draining = True
        self.close()
        gevent.sleep(0)  # connections accepted last have a handler then
        for handler in self.admission:
            handler.wake.set()
        gevent.sleep(0)  # each has begun to read what was received
        started_s = time.monotonic()
        while self.admission:
            waited_s = time.monotonic() - started_s
            unanswered = self._count_unanswered()
            if waited_s >= (answer_s if unanswered else read_s):
                break
            gevent.sleep(POLL_S)
        return self._count_unanswered()

    def _count_unanswered(self):
        return sum(handler.is_answering for handler in self.admission)
