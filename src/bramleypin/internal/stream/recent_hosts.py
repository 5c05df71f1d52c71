"""Tracks the daemons that sent a frame recently."""

import anyio


class RecentHosts:
    """A set of hosts that expire ``max_age_s`` after their last frame."""

    def __init__(self, max_age_s: float):
        self._max_age_s = max_age_s
        self._last_seen_s_by_host: dict[str, float] = {}

    def record(self, host: str) -> None:
        """Record that a host has sent a frame."""
        self._last_seen_s_by_host[host] = anyio.current_time()

    def forget(self, host: str) -> None:
        """Remove a host, for example because it cannot be reached."""
        self._last_seen_s_by_host.pop(host, None)

    def newest_first(self) -> list[str]:
        """Remove expired hosts and return the others, most recent first."""
        oldest_s = anyio.current_time() - self._max_age_s
        self._last_seen_s_by_host = {
            host: last_seen_s
            for host, last_seen_s in self._last_seen_s_by_host.items()
            if last_seen_s >= oldest_s
        }
        return sorted(
            self._last_seen_s_by_host,
            key=self._last_seen_s_by_host.__getitem__,
            reverse=True,
        )

    def oldest_first(self) -> list[str]:
        """Remove expired hosts and return the others, least recent first."""
        return self.newest_first()[::-1]
