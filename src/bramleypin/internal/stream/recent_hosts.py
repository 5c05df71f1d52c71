"""Which daemons have sent something lately."""

import anyio


class RecentHosts:
    """Remembers hosts for a while after they were last heard of."""

    def __init__(self, age_s: float):
        self._age_s = age_s
        self._heard_s_by_host: dict[str, float] = {}

    def heard(self, host: str) -> None:
        """Note that a host has sent something."""
        self._heard_s_by_host[host] = anyio.current_time()

    def forget(self, host: str) -> None:
        """Drop a host, for example because it cannot be reached."""
        self._heard_s_by_host.pop(host, None)

    def newest_first(self) -> list[str]:
        """Return the hosts, the latest one first; drops those too old."""
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
