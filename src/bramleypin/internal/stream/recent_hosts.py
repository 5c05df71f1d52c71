"""Tracks the daemons that sent a frame recently."""

import anyio


class RecentHosts:
    """A set of hosts that expire ``age_s`` seconds after the last frame."""

    def __init__(self, age_s: float):
        self._age_s = age_s
        self._heard_s_by_host: dict[str, float] = {}

    def heard(self, host: str) -> None:
        """Record that a host has sent a frame."""
        self._heard_s_by_host[host] = anyio.current_time()

    def forget(self, host: str) -> None:
        """Remove a host, for example because it cannot be reached."""
        self._heard_s_by_host.pop(host, None)

    def newest_first(self) -> list[str]:
        """Remove expired hosts and return the others, most recent first."""
        oldest_s = anyio.current_time() - self._age_s
        self._heard_s_by_host = {
            host: heard_s
            for host, heard_s in self._heard_s_by_host.items()
            if heard_s >= oldest_s
        }
        return sorted(
            self._heard_s_by_host,
            key=self._heard_s_by_host.__getitem__,
            reverse=True,
        )
