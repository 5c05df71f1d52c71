"""Tests of answers files and of generated configurations."""

import pathlib
import tempfile
import tomllib
import unittest

import parameterized
import typer.testing

from bramleypin import cli
from bramleypin import errors
from bramleypin.internal.model import configuration
from bramleypin.internal.model import view as view_module
from bramleypin.internal.tool import answers as answers_module
from bramleypin.internal.tool import answers_file
from bramleypin.internal.tool import checks
from bramleypin.internal.tool import diff
from bramleypin.internal.tool import documents
from bramleypin.internal.tool import domains
from bramleypin.internal.tool import explain
from bramleypin.internal.tool import generate
from bramleypin.internal.tool import metrics_page
from bramleypin.internal.tool import promises
from bramleypin.internal.tool import questionnaire

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXAMPLES = ROOT / "examples"
LONE_STAR = EXAMPLES / "lone-star/answers.toml"


def table():
    """Return the answers of the example as a plain table."""
    return tomllib.loads(LONE_STAR.read_text(encoding="utf-8"))


def bundle(content=None, previous=None, revision=None):
    """Generate a revision without checking it."""
    answers = answers_file.validate(content or table(), "answers.toml")
    return generate.bundle(answers, previous, revision)


def host(content, name):
    """Return the table of one host."""
    for service in content["services"]:
        for item in service["hosts"]:
            if item["id"] == name:
                return item
    raise KeyError(name)


class TestGenerate(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def test_equal_answers_give_equal_bytes(self):
        """Guards against unchanged contents that all daemons read again."""
        shuffled = table()
        shuffled["services"].reverse()
        for service in shuffled["services"]:
            service["hosts"].reverse()
        self.assertEqual(
            documents.file_contents(bundle()),
            documents.file_contents(bundle(shuffled)),
        )

    @parameterized.parameterized.expand([("lone-star",), ("vattermandel",)])
    def test_the_committed_examples_match_their_answers(self, name):
        """Guards against committed examples that are out of date."""
        answers = answers_file.load(EXAMPLES / name / "answers.toml")
        expected = documents.file_contents(generate.bundle(answers))
        folder = EXAMPLES / name / "configuration"
        actual = {path.name: path.read_bytes() for path in folder.iterdir()}
        self.assertEqual(expected, actual)

    def test_a_daemon_accepts_what_is_written(self):
        """Guards against documents that every daemon rejects."""
        documents.write(bundle(), self.folder)
        data = (self.folder / "manifest.cbor").read_bytes()
        manifest = configuration.decode(data, configuration.Manifest, "m")
        services = {}
        for shard in manifest.digest_by_shard:
            content = (self.folder / f"shard-{shard:02}.cbor").read_bytes()
            services.update(configuration.decode_shard(content, "s"))
        view = view_module.advance(view_module.empty(), manifest, services)
        self.assertEqual(7, len(view.service("scheduler").endpoints))
        self.assertEqual(bundle(), documents.read(self.folder))

    def test_a_changed_shard_is_refused_when_read(self):
        """Guards against publishing files that were damaged or edited."""
        documents.write(bundle(), self.folder)
        path = next(self.folder.glob("shard-*.cbor"))
        data = path.read_bytes().replace(b"127.10.", b"127.11.", 1)
        path.write_bytes(data)
        with self.assertRaises(errors.InvalidConfiguration):
            documents.read(self.folder)

    def test_removed_addresses_retire_until_they_are_used_again(self):
        """Guards against an address that changes its service at once."""
        first = bundle()
        content = table()
        content["services"][0]["addresses"] = ["127.10.0.11:5683"]
        second = bundle(content, first)
        self.assertEqual(("127.10.0.10:5683",), second.manifest.retired)
        content["services"][1]["addresses"].append("127.10.0.10:5683")
        third = bundle(content, second)
        self.assertEqual((), third.manifest.retired)
        self.assertEqual([], checks.run(third, second))
        reused_at_once = bundle(content, first)
        (finding,) = checks.run(reused_at_once, first)
        self.assertIn("is retired", finding)

    def test_a_domain_stays_out_when_the_answers_change(self):
        """Guards against new answers that return a domain to service."""
        bundle_with_waco_out = domains.with_domain_state(
            bundle(), "waco", True
        )
        content = table()
        content["services"][0]["requests_per_s"] = 59.0
        self.assertEqual(
            ["waco"], bundle(content, bundle_with_waco_out).out_domains()
        )


def too_much_load(content):
    content["services"][0]["requests_per_s"] = 81.0


def too_many_callers(content):
    content["services"][0]["open_callers"] = 8_001


def shared_address(content):
    content["services"][1]["addresses"] = ["127.10.0.10:5683"]


def shared_agent(content):
    host(content, "planstore-1")["address"] = "127.10.1.11"


def removed_host(content):
    content["services"][0]["hosts"].pop()


def moved_host(content):
    host(content, "scheduler-7")["address"] = "127.10.3.99"


def too_many_hosts(content):
    service = content["services"][0]
    original = service["hosts"][0]
    for number in range(9_000):
        added_host = dict(
            original, id=f"extra-{number}", data_port=8_000 + number
        )
        added_host["control_port"] = 20_000 + number
        service["hosts"].append(added_host)


class TestCheck(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (too_much_load, "80 requests/s", "without failure domain austin"),
            (too_many_callers, "8000 callers", "austin"),
            (shared_address, "127.10.0.10:5683", "its own"),
            (shared_agent, "127.10.1.11:7000", "its own"),
            (removed_host, "scheduler-7", "leaving = true"),
            (moved_host, "scheduler-7", "127.10.3.17:7000"),
            (too_many_hosts, "shard-", "limit of 1000000"),
        ]
    )
    def test_a_broken_promise_is_refused(self, change, *words):
        """Guards against publishing a revision that breaks a promise."""
        previous = bundle()
        content = table()
        change(content)
        with self.assertRaises(errors.GuaranteeViolated) as caught:
            checks.require_passing(bundle(content, previous), previous)
        for word in words:
            self.assertIn(word, str(caught.exception))

    def test_a_falling_revision_is_refused_even_when_forced(self):
        """Guards against a revision that every daemon ignores."""
        previous = bundle(revision=7)
        for revision in (6, 7):
            with self.assertRaises(errors.GuaranteeViolated):
                checks.require_passing(
                    bundle(None, previous, revision), previous, True
                )

    def test_an_unknown_domain_in_a_document_is_refused(self):
        """Guards against endpoints that `domain out` leaves in service."""
        complete_bundle = bundle()
        known_domains = dict(complete_bundle.manifest.failure_domain_by_name)
        del known_domains["waco"]
        incomplete_bundle = documents.assemble(
            1,
            known_domains,
            (),
            complete_bundle.service_by_name,
            {},
            "lone-star",
        )
        with self.assertRaises(errors.GuaranteeViolated) as caught:
            checks.require_passing(incomplete_bundle)
        self.assertIn("unknown failure domain waco", str(caught.exception))

    def test_only_capacity_and_departure_can_be_forced(self):
        """Guards against a --force that puts two services on one address."""
        previous = bundle()
        content = table()
        too_much_load(content)
        removed_host(content)
        forced_findings = checks.require_passing(
            bundle(content, previous), previous, True
        )
        self.assertIn("carries only 80", " ".join(forced_findings))
        self.assertIn("leaving = true", " ".join(forced_findings))
        for change in (shared_address, shared_agent):
            content = table()
            change(content)
            with self.assertRaises(errors.GuaranteeViolated):
                checks.require_passing(bundle(content), None, True)

    def test_an_endpoint_that_was_leaving_or_out_may_be_removed(self):
        """Guards against hosts that can never be removed."""
        content = table()
        host(content, "scheduler-7")["leaving"] = True
        leaving_bundle = bundle(content, bundle())
        removed_host(content)
        self.assertEqual(
            [], checks.run(bundle(content, leaving_bundle), leaving_bundle)
        )
        out_bundle = domains.with_domain_state(bundle(), "san-marcos", True)
        self.assertEqual(
            [], checks.run(bundle(content, out_bundle), out_bundle)
        )


class TestDomains(unittest.TestCase):
    def test_a_domain_that_is_needed_is_not_taken_out(self):
        """Guards against overload of the domains that stay in service."""
        out_bundle = domains.with_domain_state(bundle(), "waco", True)
        domains.require_capacity(out_bundle)
        with self.assertRaises(errors.GuaranteeViolated) as caught:
            domains.require_capacity(
                domains.with_domain_state(out_bundle, "austin", True)
            )
        self.assertIn("not enough", str(caught.exception))

    def test_out_and_return_change_only_the_manifest(self):
        """Guards against a domain change that also changes the services."""
        first = bundle()
        out_bundle = domains.with_domain_state(first, "waco", True)
        returned_bundle = domains.with_domain_state(out_bundle, "waco", False)
        self.assertEqual(
            [1, 2, 3],
            [b.revision for b in (first, out_bundle, returned_bundle)],
        )
        self.assertEqual(["waco"], out_bundle.out_domains())
        self.assertTrue(generate.same_contents(first, returned_bundle))
        self.assertEqual(
            first.manifest.digest_by_shard, out_bundle.manifest.digest_by_shard
        )


class TestDiff(unittest.TestCase):
    def changes(self, new_bundle):
        """Return the changes against the example, by service."""
        return {
            item.service: item for item in diff.changes(bundle(), new_bundle)
        }

    def test_a_domain_out_moves_its_share_of_flows(self):
        """Guards against an estimate that misses flows that move."""
        out_bundle = domains.with_domain_state(bundle(), "waco", True)
        change = self.changes(out_bundle)["scheduler"]
        self.assertIn("loses 2 of 7 endpoints", change.text())
        # 2 of 7 equal endpoints, within three standard errors of the sample.
        self.assertAlmostEqual(2 / 7, change.moved_share, delta=0.0096)
        self.assertEqual(change.moved_share, change.abandoned_share)
        self.assertIn(
            "waco is taken out",
            " ".join(diff.general_changes(bundle(), out_bundle)),
        )

    def test_a_leaving_endpoint_keeps_its_established_flows(self):
        """Guards against reporting continuing flows as abandoned."""
        content = table()
        host(content, "scheduler-1")["leaving"] = True
        change = self.changes(bundle(content, bundle()))["scheduler"]
        self.assertAlmostEqual(1 / 7, change.moved_share, delta=0.0075)
        self.assertEqual(0.0, change.abandoned_share)
        self.assertIn("established flows stay", change.text())

    def test_an_unchanged_service_is_not_listed(self):
        """Guards against a diff whose unchanged services hide a change."""
        content = table()
        content["services"][0]["must_succeed"] = 0.99
        changes = self.changes(bundle(content, bundle()))
        self.assertEqual(["scheduler"], list(changes))
        self.assertIn("0.999 within 2 s -> 0.99", changes["scheduler"].text())
        self.assertIn("no new flows move", changes["scheduler"].text())


class TestExplain(unittest.TestCase):
    def test_every_value_names_an_answer_that_exists(self):
        """Guards against an origin that names an unknown answer."""
        answers = answers_file.load(LONE_STAR)
        origins = list(explain.origins(answers))
        for origin in origins:
            if origin.answer is not None:
                name = origin.answer.rpartition(".")[2]
                models = (
                    answers_module.Service,
                    answers_module.Host,
                    answers_module.HostTraits,
                    answers_module.FailureDomain,
                )
                self.assertTrue(any(name in m.model_fields for m in models))
        keys = {origin.key for origin in origins}
        for field in configuration.Endpoint.__struct_fields__:
            self.assertIn(f"scheduler.endpoints.scheduler-1.{field}", keys)

    def test_a_host_answer_overrides_that_of_its_service(self):
        """Guards against an origin that names the overridden answer."""
        content = table()
        host(content, "scheduler-1")["slots"] = 4
        answers = answers_file.validate(content, "answers.toml")
        for number, group in ((1, "hosts[scheduler-1]"), (2, "each_host")):
            key = f"scheduler.endpoints.scheduler-{number}.slots"
            (origin,) = explain.find_origins(answers, key)
            self.assertEqual(
                f"services[scheduler].{group}.slots", origin.answer
            )


class TestQuestionnaire(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / "answers.toml"

    def run_tool(self, *arguments, typed=""):
        """Run the tool and return its output; it must succeed."""
        result = typer.testing.CliRunner().invoke(
            cli.application, [str(part) for part in arguments], input=typed
        )
        self.assertEqual(0, result.exit_code, result.output)
        return result.output

    def test_a_revision_keeps_comments_and_order(self):
        """Guards against a revision that drops the comments of a team."""
        text = LONE_STAR.read_text(encoding="utf-8")
        content = table()
        content["services"][0]["requests_per_s"] = 61.0
        host(content, "scheduler-7")["leaving"] = True
        revised = questionnaire.revise(text, content)
        self.assertEqual(content, tomllib.loads(revised))
        old_lines, new_lines = text.splitlines(), revised.splitlines()
        removed_lines = [line for line in old_lines if line not in new_lines]
        self.assertEqual(["requests_per_s = 60.0"], removed_lines)
        position = old_lines.index("requests_per_s = 60.0")
        self.assertEqual("requests_per_s = 61.0", new_lines[position])
        self.assertEqual(old_lines[:position], new_lines[:position])

    def test_typed_answers_are_asked_again_until_they_are_valid(self):
        """Guards against a wrong answer that is reported only at the end."""
        domains_typed = ["waco", "texas", "y", "austin", "texas", "n"]
        service_typed = ["scheduler", "Crews book.", "10.0.0.10"]
        service_typed += ["10.0.0.10:5683", "tcp", "coap", "none", "30", "2"]
        service_typed += ["0.999", "ten", "10", "0.25", "100", "yes"]
        traits_typed = ["5", "2000", "1", "30", "1"]
        hosts_typed = ["s-1", "dallas", "waco", "10.0.1.11", "", "", "no", "y"]
        hosts_typed += ["s-2", "austin", "10.0.1.12", "", "", "no", "n", "n"]
        typed = ["lone-star", "Lone Star", *domains_typed, *service_typed]
        typed += [*traits_typed, *hosts_typed]
        output = self.run_tool(
            "questionnaire", "new", self.file, typed="\n".join(typed) + "\n"
        )
        for word in ("and a port", "'datagram'", "number", "waco, austin"):
            self.assertIn(word, output)
        answers = answers_file.load(self.file)
        self.assertEqual([], answers.services[0].run_once)
        self.assertEqual(10.0, answers.services[0].requests_per_s)
        saved_text = self.file.read_text(encoding="utf-8")
        self.assertIn("# What share of requests must succeed", saved_text)
        self.run_tool("questionnaire", "revise", self.file, typed="\n" * 20)
        self.assertEqual(saved_text, self.file.read_text(encoding="utf-8"))


class TestPages(unittest.TestCase):
    def test_the_page_on_metrics_is_up_to_date(self):
        """Guards against metrics that are missing on the page.

        Run: python -m bramleypin.internal.tool.metrics_page > docs/metrics.md
        """
        page = (ROOT / "docs/metrics.md").read_text(encoding="utf-8")
        self.assertEqual(metrics_page.render(), page)

    def test_the_promises_are_measured_by_declared_counters(self):
        """Guards against figures that stay 0 after a counter is renamed."""
        page = metrics_page.render()
        for names in (
            promises.BROKEN_FLOW_COUNTERS,
            promises.REFUSAL_COUNTERS,
            promises.DOMAIN_OUT_COUNTERS,
            promises.WRONG_SERVICE_COUNTERS,
        ):
            for name in names:
                self.assertIn(f"`{name}`", page)
