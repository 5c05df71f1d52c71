"""Computes how fast services use up their error budgets.

The burn rate is the share of bad requests divided by the share that the
objective allows to be bad. The alarms follow the multiwindow, multi-burn-rate
rule of The Site Reliability Workbook, chapter 5 ("Alerting on SLOs"): a long
window shows that a large part of the budget is used up. A short window, a
twelfth as long, shows that the budget is still being used up.
"""

import collections.abc
import dataclasses
import typing

MINUTE_S = 60.0
WINDOW_S_BY_NAME: dict[str, float] = {
    "5 min": 300.0,
    "30 min": 1_800.0,
    "1 h": 3_600.0,
    "6 h": 21_600.0,
}
LONGEST_WINDOW_S = max(WINDOW_S_BY_NAME.values())

# Minutes that each burn rate of the plotted series covers.
SMOOTHING_MINUTES = 5

BURN_RATE_DECIMALS = 9

OutcomesAnswer = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Rule:
    """An alarm rule; it applies if both windows reach the burn rate limit."""

    level: str
    long_window: str
    short_window: str
    burn_rate_limit: float


# The first two rules are from The Site Reliability Workbook: a burn rate of
# 14.4 uses up 2% of a 30-day budget in 1 h, and one of 6 uses up 5% in 6 h.
# The workbook's third rule opens a ticket at a burn rate of 1, with windows of
# 3 days and 6 h. VMs keep counts for at most 6 h, so the long window of the
# third rule here is 6 h.
RULES = (
    Rule("page", "1 h", "5 min", 14.4),
    Rule("page", "6 h", "30 min", 6.0),
    Rule("warn", "6 h", "30 min", 1.0),
)


@dataclasses.dataclass(frozen=True)
class Window:
    """The requests of one service in one window.

    ``burn`` is the burn rate, or ``None`` without requests or an objective.
    ``covered`` is the share of the window that the daemons' counts cover.
    """

    total: int
    bad: int
    burn: float | None
    covered: float


@dataclasses.dataclass(frozen=True)
class ServiceBurn:
    """Burn rates and alarms of one service.

    ``series`` has one burn rate per minute, newest last. ``alarms`` holds the
    level and the message of each rule that applies.
    """

    service: str
    success: float | None
    max_latency_s: float | None
    window_by_name: dict[str, Window]
    alarms: list[tuple[str, str]]
    series: list[float | None]

    @property
    def level(self) -> str:
        """The most urgent level of the alarms: page, warn or ok."""
        levels = [level for level, _ in self.alarms]
        for name in ("page", "warn"):
            if name in levels:
                return name
        return "ok"


@dataclasses.dataclass
class _Counts:
    total: int = 0
    bad: int = 0

    def add(self, row: list[int]) -> None:
        """Add the counts of one minute.

        Invalid requests are errors of the caller and are left out.
        """
        answered, not_run, unknown, _invalid, slow = row
        self.total += answered + not_run + unknown
        self.bad += not_run + unknown + slow


def services(
    answers: collections.abc.Sequence[OutcomesAnswer], silent_count: int
) -> list[ServiceBurn]:
    """Return the burn rates of each service that any daemon reports.

    ``silent_count`` is the number of daemons that did not answer the tool.
    Their counts are missing, which lowers the coverage of every window.
    """
    names = {name for answer in answers for name in answer["services"]}
    names |= {
        answer["endpoint"]["service"]
        for answer in answers
        if answer["endpoint"] is not None
    }
    return [
        _service_burn(name, answers, silent_count) for name in sorted(names)
    ]


def _service_burn(
    name: str,
    answers: collections.abc.Sequence[OutcomesAnswer],
    silent_count: int,
) -> ServiceBurn:
    minutes = [
        (age_s, row)
        for answer in answers
        for age_s, row in answer["services"].get(name, _NO_COUNTS)["minutes"]
    ]
    objective = _objective(name, answers)
    allowed_share = None if objective is None else 1.0 - objective[0]
    counted_times_s = _counted_times_s(name, answers)
    window_by_name = {}
    for window, length_s in WINDOW_S_BY_NAME.items():
        counts = _Counts()
        for age_s, row in minutes:
            # A minute counts towards each window that contains its midpoint.
            if age_s - MINUTE_S / 2 < length_s:
                counts.add(row)
        window_by_name[window] = Window(
            counts.total,
            counts.bad,
            _burn_rate(counts, allowed_share),
            _covered_share(counted_times_s, silent_count, length_s),
        )
    return ServiceBurn(
        service=name,
        success=None if objective is None else objective[0],
        max_latency_s=None if objective is None else objective[1],
        window_by_name=window_by_name,
        alarms=_alarms(window_by_name),
        series=_series(minutes, allowed_share),
    )


_NO_COUNTS: OutcomesAnswer = {"objective": None, "minutes": []}


def _objective(
    name: str, answers: collections.abc.Sequence[OutcomesAnswer]
) -> tuple[float, float] | None:
    for answer in answers:
        objective = answer["services"].get(name, _NO_COUNTS)["objective"]
        if objective is not None:
            return objective[0], objective[1]
    return None


def _burn_rate(counts: _Counts, allowed_share: float | None) -> float | None:
    if not counts.total or not allowed_share:
        return None
    # 1 - 0.999 is not exactly 0.001; without rounding, a burn rate at the
    # limit of an alarm would count as below it.
    return round(counts.bad / counts.total / allowed_share, BURN_RATE_DECIMALS)


def _counted_times_s(
    name: str, answers: collections.abc.Sequence[OutcomesAnswer]
) -> list[float]:
    """Return how long each daemon of a service has counted, in seconds."""
    return [
        answer["covered_s"]
        for answer in answers
        if name in answer["services"]
        or (answer["endpoint"] or {}).get("service") == name
    ]


def _covered_share(
    counted_times_s: list[float], silent_count: int, length_s: float
) -> float:
    """Return the mean coverage of a window; a silent daemon covers none."""
    shares = [min(1.0, counted_s / length_s) for counted_s in counted_times_s]
    count = len(shares) + silent_count
    return sum(shares) / count if count else 0.0


def _alarms(window_by_name: dict[str, Window]) -> list[tuple[str, str]]:
    alarms = []
    for rule in RULES:
        long_burn = window_by_name[rule.long_window].burn
        short_burn = window_by_name[rule.short_window].burn
        if long_burn is None or short_burn is None:
            continue
        if (
            long_burn >= rule.burn_rate_limit
            and short_burn >= rule.burn_rate_limit
        ):
            text = (
                f"burn rate {long_burn:.1f} over {rule.long_window} and "
                f"{short_burn:.1f} over {rule.short_window}; the limit is "
                f"{rule.burn_rate_limit:g} in both"
            )
            alarms.append((rule.level, text))
    return alarms


def _series(
    minutes: list[tuple[float, list[int]]], allowed_share: float | None
) -> list[float | None]:
    count = int(LONGEST_WINDOW_S / MINUTE_S)
    buckets = [_Counts() for _ in range(count)]
    for age_s, row in minutes:
        bucket = int(max(0.0, age_s - MINUTE_S / 2) / MINUTE_S)
        if bucket < count:
            buckets[bucket].add(row)
    result = []
    for bucket in range(count):
        smoothed_counts = buckets[bucket : bucket + SMOOTHING_MINUTES]
        total = _Counts(
            sum(item.total for item in smoothed_counts),
            sum(item.bad for item in smoothed_counts),
        )
        result.append(_burn_rate(total, allowed_share))
    return list(reversed(result))


@dataclasses.dataclass(frozen=True)
class EndpointUsage:
    """Utilisation of one endpoint.

    ``series`` has the share of slots in use in each minute, newest last, and
    ``utilisation`` is its mean over 5 min. ``share`` is the number of requests
    answered in 1 h per unit of weight. ``cold_excess`` is the largest number
    of requests by which the endpoint exceeded its limit while it was cold.
    """

    service: str
    id: str
    failure_domain: str
    slots: int
    utilisation: float | None
    share: float | None
    cold_excess: int
    series: list[float | None]


def endpoints(
    answers: collections.abc.Sequence[OutcomesAnswer],
) -> list[EndpointUsage]:
    """Return the utilisation of all endpoints, sorted by service and id."""
    usages = [
        _endpoint_usage(answer)
        for answer in answers
        if answer["endpoint"] is not None
    ]
    return sorted(usages, key=lambda item: (item.service, item.id))


def _endpoint_usage(answer: OutcomesAnswer) -> EndpointUsage:
    entry = answer["endpoint"]
    count = int(LONGEST_WINDOW_S / MINUTE_S)
    series: list[float | None] = [None] * count
    for age_s, running_count, _ in entry["minutes"]:
        bucket = int(max(0.0, age_s - MINUTE_S / 2) / MINUTE_S)
        if bucket < count and entry["slots"]:
            series[count - 1 - bucket] = running_count / entry["slots"]
    rows = answer["services"].get(entry["service"], _NO_COUNTS)["minutes"]
    answered_count = sum(
        row[0] for age_s, row in rows if age_s < WINDOW_S_BY_NAME["1 h"]
    )
    recent_shares = [item for item in series[-5:] if item is not None]
    return EndpointUsage(
        service=entry["service"],
        id=entry["id"],
        failure_domain=answer["failure_domain"],
        slots=entry["slots"],
        utilisation=(
            sum(recent_shares) / len(recent_shares) if recent_shares else None
        ),
        share=answered_count / entry["weight"] if entry["weight"] else None,
        cold_excess=max((row[2] for row in entry["minutes"]), default=0),
        series=series,
    )


def imbalance(usages: collections.abc.Iterable[EndpointUsage]) -> float | None:
    """Return the highest utilisation of endpoints divided by the mean.

    ``usages`` are those of one service. 1 is perfect balance; the result is
    ``None`` when no slot was in use.
    """
    values = [
        usage.utilisation for usage in usages if usage.utilisation is not None
    ]
    mean = sum(values) / len(values) if values else 0.0
    return max(values) / mean if mean else None
