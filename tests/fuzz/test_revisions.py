"""Property tests: revisions offered in any order never revert the view."""

import unittest

import hypothesis
from hypothesis import strategies

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import view_store
from bramleypin.internal.model import configuration
from bramleypin.standins import fleet
from bramleypin.standins import platform

REVISIONS = 80
DOMAINS = ("a", "b")


def make_history():
    """Return the services and manifest of each revision, one change apart."""
    services = dict(fleet.make_services(12, DOMAINS))
    domains = {name: configuration.FailureDomain() for name in DOMAINS}
    history = [({}, None)]
    for revision in range(1, REVISIONS + 1):
        name = f"service-{revision * 7 % 12}"
        if revision % 5 == 0:
            services.pop(name, None)
        else:
            fresh = fleet.make_services(12, DOMAINS, 1 + revision % 3)
            services[name] = fresh[name]
        encoded = {n: configuration.encode(s) for n, s in services.items()}
        digests = {
            number: configuration.shard_digest(group)
            for number, group in platform.group_by_shard(encoded).items()
        }
        manifest = configuration.Manifest(
            configuration.FORMAT, revision, digests, domains
        )
        history.append((encoded, manifest))
    return history


HISTORY = make_history()


def changes(base, revision):
    """Return what changed between two revisions."""
    before, after = HISTORY[base][0], HISTORY[revision][0]
    return {
        name: after.get(name)
        for name in before.keys() | after.keys()
        if before.get(name) != after.get(name)
    }


def new_store():
    """Return a view store without a daemon."""
    vm = fleet.make_vms(1, DOMAINS)[0]
    kernel = kernel_module.Kernel(fleet.make_settings(vm), None)
    return view_store.ViewStore(kernel)


OFFERS = strategies.tuples(
    strategies.integers(1, REVISIONS),
    strategies.integers(0, REVISIONS),
    strategies.sampled_from(("delta", "whole", "conflict", "mixed")),
)


def offer(store, revision, base, kind):
    """Apply a revision: a delta, whole shards or one of two faulty kinds."""
    encoded, manifest = HISTORY[revision]
    changed = changes(min(base, revision), revision)
    if kind == "whole":
        shards = platform.group_by_shard(encoded)
        numbers = set(manifest.digest_by_shard)
        numbers |= set(store.view.manifest.digest_by_shard)
        changed = store.diff_shards({n: shards.get(n, {}) for n in numbers})
    elif kind == "conflict":
        manifest = configuration.Manifest(
            manifest.format,
            revision,
            manifest.digest_by_shard,
            manifest.failure_domain_by_name,
            ("10.9.9.9:1",),
        )
    elif kind == "mixed":
        changed = changes(base, REVISIONS - revision)
    store.apply(manifest, changed)


class TestRevisions(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(strategies.lists(OFFERS, max_size=20))
    def test_the_revision_never_decreases(self, offers):
        """Guards against views that revert or mix two revisions."""
        store = new_store()
        for revision, base, kind in offers:
            revision_before = store.view.revision
            encoded_before = store.view.encoded_by_service
            try:
                offer(store, revision, base, kind)
            except errors.BramleypinError:
                self.assertEqual(revision_before, store.view.revision)
                self.assertIs(encoded_before, store.view.encoded_by_service)
                continue
            self.assertGreater(store.view.revision, revision_before)
            expected = HISTORY[store.view.revision][0]
            self.assertEqual(expected, store.view.encoded_by_service)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.integers(1, REVISIONS - 1),
        strategies.integers(1, view_store.CHANGE_LOG_SIZE),
        strategies.integers(0, view_store.CHANGE_LOG_SIZE),
    )
    def test_a_delta_fits_all_receivers_in_its_range(
        self, since, count, ahead
    ):
        """Guards against a delta with a missing or wrong change."""
        last = min(since + count, REVISIONS)
        sender, receiver = new_store(), new_store()
        for revision in range(since, last + 1):
            offer(sender, revision, 0, "whole")
        offer(receiver, min(since + ahead, last - 1), 0, "whole")
        receiver.apply(HISTORY[last][1], sender.delta(since))
        self.assertEqual(HISTORY[last][0], receiver.view.encoded_by_service)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.sets(strategies.integers(1, REVISIONS), min_size=1),
        strategies.integers(1, REVISIONS),
    )
    def test_a_delta_across_skipped_revisions_fits_or_is_refused(
        self, revisions, at
    ):
        """Guards against a receiver that mixes two revisions.

        A service that changed and changed back between two revisions of the
        sender is not in its change log. A receiver at a revision in between
        has to detect that the delta does not fit.
        """
        sender, receiver = new_store(), new_store()
        for revision in sorted(revisions):
            offer(sender, revision, 0, "whole")
        last = sender.view.revision
        delta = sender.delta(at)
        if delta is None or at >= last:
            return
        offer(receiver, at, 0, "whole")
        try:
            receiver.apply(HISTORY[last][1], delta)
        except errors.InvalidConfiguration:
            self.assertNotIn(at, revisions)
            self.assertEqual(HISTORY[at][0], receiver.view.encoded_by_service)
            offer(receiver, last, 0, "whole")
        self.assertEqual(HISTORY[last][0], receiver.view.encoded_by_service)

    def test_the_change_log_holds_64_changes(self):
        """Guards against an unbounded log and deltas from before its start."""
        store = new_store()
        for revision in range(1, REVISIONS + 1):
            offer(store, revision, 0, "whole")
        oldest = REVISIONS - view_store.CHANGE_LOG_SIZE
        self.assertIsNone(store.delta(oldest - 1))
        self.assertEqual(
            changes(oldest, REVISIONS).keys() - store.delta(oldest).keys(),
            set(),
        )
