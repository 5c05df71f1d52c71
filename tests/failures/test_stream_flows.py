"""Stream flows on a whole virtual deployment, one fault each."""

import unittest
from unittest import mock

import anyio
import parameterized

from bramleypin.internal.stream import openings
from bramleypin.standins import stream_fleet
from bramleypin.standins import virtual_network

SERVICE = (stream_fleet.SERVICE_HOST, 443)


def play(scenario, seed: int = 1):
    """Run a scenario with a fleet of its own under the virtual clock."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = stream_fleet.StreamFleet(tasks, seed)
            result = await scenario(fleet)
            tasks.cancel_scope.cancel()
        return result

    return virtual_network.run(main, seed)


async def build(fleet, endpoints: int = 3, balancers: int = 2, **options):
    """Start balancers, endpoints in domains a, b, c, and one caller."""
    fleet.store.configure(stream_fleet.configuration(1, stream_fleet.route()))
    for number in range(endpoints):
        domain = "abc"[number % 3]
        fleet.add_endpoint(f"e{number}", f"10.0.1.{number}", domain, **options)
    for number in range(balancers):
        fleet.add_balancer(f"b{number}", f"10.0.0.{number + 1}", "a")
    caller = fleet.add_caller("100.64.0.1")
    await anyio.sleep(1.0)
    return caller


async def load(
    caller,
    per_s: float,
    for_s: float,
    budget_s: float = 1.5,
    pause_s: float = 0.0,
):
    """Send requests at a steady rate; return their outcomes in order."""
    outcomes = {}

    async def one(number):
        outcomes[number] = await caller.request(SERVICE, budget_s, pause_s)

    async with anyio.create_task_group() as tasks:
        for number in range(int(per_s * for_s)):
            tasks.start_soon(one, number)
            await anyio.sleep(1 / per_s)
    return [outcomes[number] for number in sorted(outcomes)]


def kinds(outcomes) -> set[str]:
    """Return the distinct kinds of outcomes."""
    return {outcome.kind for outcome in outcomes}


class StreamFlowsTest(unittest.TestCase):
    def test_a_calm_deployment_answers_every_request(self):
        """Guards against a broken path from caller to endpoint and back."""

        async def scenario(fleet):
            caller = await build(fleet)
            return await load(caller, 50, 4)

        outcomes = play(scenario)
        self.assertEqual({"answered"}, kinds(outcomes))
        self.assertLess(max(item.seconds for item in outcomes), 0.25)

    def test_flows_open_while_a_balancer_leaves_and_another_joins(self):
        """Guards against flows that break when the fabric moves packets."""

        async def scenario(fleet):
            caller = await build(fleet)
            found = []

            async def send():
                found.extend(await load(caller, 30, 3, pause_s=0.5))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await anyio.sleep(0.7)
                fleet.add_balancer("b2", "10.0.0.3", "a")
                await anyio.sleep(0.7)
                fleet.balancer_by_name["b0"].stop()
                await anyio.sleep(0.7)
                fleet.balancer_by_name["b1"].kill()
            return found

        self.assertEqual({"answered"}, kinds(play(scenario)))

    def test_a_silent_endpoint_costs_no_request(self):
        """Guards against openings that wait for an endpoint without power."""

        async def scenario(fleet):
            caller = await build(fleet)
            fleet.endpoint_by_name["e0"].silent = True
            return await load(caller, 40, 3)

        outcomes = play(scenario)
        self.assertEqual({"answered"}, kinds(outcomes))
        self.assertLess(max(item.seconds for item in outcomes), 0.4)

    def test_an_agent_passes_on_what_a_silent_endpoint_leaves(self):
        """Guards against openings that only a balancer's timer saves."""

        async def scenario(fleet):
            caller = await build(fleet)
            fleet.endpoint_by_name["e0"].silent = True
            return await load(caller, 40, 3)

        with mock.patch.object(openings, "ANSWER_TIMEOUT_S", 10.0):
            outcomes = play(scenario)
        self.assertEqual({"answered"}, kinds(outcomes))
        self.assertLess(max(item.seconds for item in outcomes), 0.4)

    def test_a_dead_agent_costs_no_later_request(self):
        """Guards against openings that wait for a machine that is gone."""

        async def scenario(fleet):
            caller = await build(fleet)
            fleet.agent_by_name["e1"].kill()
            await anyio.sleep(0.5)
            return await load(caller, 40, 3)

        outcomes = play(scenario)
        self.assertEqual({"answered"}, kinds(outcomes))

    def test_an_agent_that_restarts_keeps_the_flows_of_its_endpoint(self):
        """Guards against an agent that disowns flows it does not remember."""

        async def scenario(fleet):
            caller = await build(fleet)
            outcomes = []

            async def send():
                outcomes.extend(await load(caller, 30, 0.3, 4.0, 0.8))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await anyio.sleep(0.4)
                for agent in fleet.agent_by_name.values():
                    agent.kill()
                await anyio.sleep(0.1)
                for agent in fleet.agent_by_name.values():
                    agent.start()
                # The other balancer does not know the flows either.
                fleet.balancer_by_name["b0"].kill()
            return outcomes

        self.assertEqual({"answered"}, kinds(play(scenario)))

    def test_a_flow_whose_endpoint_started_anew_is_reset_at_once(self):
        """Guards against callers that wait for an endpoint that forgot."""

        async def scenario(fleet):
            caller = await build(fleet, endpoints=1)
            outcomes = []

            async def send():
                outcomes.append(await caller.request(SERVICE, 1.5, 0.4))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await anyio.sleep(0.2)
                fleet.endpoint_by_name["e0"].crash()
            return outcomes

        outcomes = play(scenario)
        self.assertEqual({"reset"}, kinds(outcomes))
        self.assertLess(outcomes[0].seconds, 0.45)

    def test_a_leaving_agent_takes_no_new_flow_and_ends_the_open_ones(self):
        """Guards against a graceful stop that cuts a request in flight."""

        async def scenario(fleet):
            caller = await build(fleet, work_s=0.3)
            found = []

            async def send():
                found.extend(await load(caller, 20, 2))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await anyio.sleep(1.0)
                fleet.agent_by_name["e2"].stop()
                stopped_s = anyio.current_time()
            late = [
                run
                for run in fleet.endpoint_by_name["e2"].openings
                if run.at_s > stopped_s + 0.05
            ]
            return found, late

        outcomes, late = play(scenario)
        self.assertEqual({"answered"}, kinds(outcomes))
        self.assertEqual([], late)


class ForbiddenEndpointsTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("draining", False),
            ("failure_domain_out", False),
            ("removed", False),
            ("draining", True),
            ("failure_domain_out", True),
            ("removed", True),
        ]
    )
    def test_an_endpoint_gets_no_new_flow_once_it(self, change, cut_off):
        """Guards against new work for an endpoint that must not get any.

        With ``cut_off`` the store turns the balancers away, so only the
        agent, or another daemon's view, can tell them.
        """

        async def scenario(fleet):
            caller = await build(fleet)
            if cut_off:
                fleet.store.refused_hosts |= {"10.0.0.1", "10.0.0.2"}
                await anyio.sleep(5.0)
            if change == "draining":
                changed = fleet.registration("e1", draining=True)
                fleet.store.put(changed)
            elif change == "removed":
                fleet.store.remove("e1")
            else:
                fleet.store.take_out("b")
            changed_s = anyio.current_time()
            outcomes = await load(caller, 40, 3)
            late = [
                run.at_s - changed_s
                for run in fleet.endpoint_by_name["e1"].openings
                if run.at_s > changed_s + 0.5
            ]
            return outcomes, late

        outcomes, late = play(scenario)
        self.assertEqual({"answered"}, kinds(outcomes))
        self.assertEqual([], late)

    def test_no_flow_reaches_another_service_at_a_reused_address(self):
        """Guards against a stale balancer that sends to a new tenant."""

        async def scenario(fleet):
            caller = await build(fleet, endpoints=2)
            fleet.store.refused_hosts |= {"10.0.0.1", "10.0.0.2"}
            await anyio.sleep(5.0)
            fleet.agent_by_name["e1"].kill()
            fleet.endpoint_by_name["e1"].process.kill()
            fleet.store.remove("e1")
            other = fleet.add_endpoint(
                "other", "10.0.1.1", "b", service="archive"
            )
            outcomes = await load(caller, 30, 2)
            return outcomes, other.openings

        outcomes, openings = play(scenario)
        self.assertEqual({"answered"}, kinds(outcomes))
        self.assertEqual([], openings)


class ConfigurationTest(unittest.TestCase):
    def test_a_dropped_route_is_refused_at_once_and_a_new_one_served(self):
        """Guards against a version that is in force only in parts."""

        async def scenario(fleet):
            caller = await build(fleet)
            fleet.store.configure(
                stream_fleet.configuration(5, stream_fleet.route(8443))
            )
            await anyio.sleep(0.1)
            old = await caller.request(SERVICE)
            new = await caller.request((SERVICE[0], 8443))
            return old, new

        old, new = play(scenario)
        self.assertEqual("reset", old.kind)
        self.assertLess(old.seconds, 0.05)
        self.assertEqual("answered", new.kind)

    def test_a_daemon_that_the_store_refuses_learns_from_others(self):
        """Guards against an old version at a daemon without the store."""

        async def scenario(fleet):
            caller = await build(fleet)
            fleet.store.refused_hosts.add("10.0.0.2")
            await anyio.sleep(5.0)
            fleet.store.configure(
                stream_fleet.configuration(5, stream_fleet.route(8443))
            )
            fleet.balancer_by_name["b0"].leaving = True
            await caller.request(SERVICE)
            await anyio.sleep(1.0)
            return await caller.request((SERVICE[0], 8443))

        self.assertEqual("answered", play(scenario).kind)

    def test_a_group_of_changes_costs_few_calls(self):
        """Guards against a call for each change from each daemon.

        Pattern: all endpoints start at once, and stop being cold at once.
        """

        async def scenario(fleet):
            await build(fleet)
            # Within 2 s of a start each registration is fetched at once.
            await anyio.sleep(2.0)
            before = fleet.store.calls
            for number in range(20):
                changed = fleet.registration("e1", cold_s=2.0 - number / 10)
                fleet.store.put(changed)
                await anyio.sleep(0.02)
            await anyio.sleep(1.0)
            revisions = {
                daemon.kernel.get("view").view.revision
                for daemon in (
                    *fleet.balancer_by_name.values(),
                    *fleet.agent_by_name.values(),
                )
            }
            return fleet.store.calls - before, revisions, fleet.store.revision

        calls, revisions, newest = play(scenario)
        self.assertEqual({newest}, revisions)
        # Five daemons; each hears of the first change, and fetches the rest
        # of 0.4 s in two more calls. One more watch waits.
        self.assertLessEqual(calls, 5 * 4)


class RecoveryTest(unittest.TestCase):
    @parameterized.parameterized.expand([(0.0,), (1.0,)])
    def test_all_daemons_restart_and_serve_again(self, store_down_s):
        """Guards against a fleet that needs anything but the store.

        With the store down for a second longer, openings that arrive before
        there is a view have to wait for it.
        """

        async def scenario(fleet):
            caller = await build(fleet)
            daemons = [
                *fleet.balancer_by_name.values(),
                *fleet.agent_by_name.values(),
            ]
            for daemon in daemons:
                daemon.kill()
            fleet.store.down = store_down_s > 0
            await anyio.sleep(1.0)
            for daemon in daemons:
                daemon.start()
            outcomes = []

            async def send():
                outcomes.extend(await load(caller, 40, 2))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await anyio.sleep(store_down_s)
                fleet.store.down = False
            return outcomes

        outcomes = play(scenario)
        answered = [item for item in outcomes if item.kind == "answered"]
        self.assertGreaterEqual(len(answered), 0.95 * len(outcomes))

    def test_endpoints_that_lapsed_in_an_outage_are_waited_for(self):
        """Guards against resets while living endpoints are missing.

        Pattern: all daemons restart while the store is silent, and find it
        without the registrations that lapsed meanwhile.
        """

        async def scenario(fleet):
            caller = await build(fleet)
            daemons = [
                *fleet.balancer_by_name.values(),
                *fleet.agent_by_name.values(),
            ]
            for daemon in daemons:
                daemon.kill()
            lapsed = list(fleet.store.endpoint_by_id)
            for id_ in lapsed:
                fleet.store.remove(id_)
            for daemon in daemons:
                daemon.start()
            outcomes = []

            async def send():
                outcomes.extend(await load(caller, 40, 1, 2.0))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await anyio.sleep(0.8)
                for id_ in lapsed:
                    fleet.store.put(fleet.registration(id_))
            return outcomes

        self.assertEqual({"answered"}, kinds(play(scenario)))

    def test_a_long_listing_on_a_narrow_link_is_not_started_again(self):
        """Guards against listings that slow each other down until all fail.

        Pattern: all machines restart with a configuration of 1,800 routes; it
        takes a second on a link of 5 Mbit/s.
        """

        async def scenario(fleet):
            fleet.store.configure(
                stream_fleet.configuration(1, stream_fleet.route())
            )
            fleet.store.transfer_s = 1.0
            fleet.add_balancer("b0", "10.0.0.1", "a")
            await anyio.sleep(1.2)
            manager = fleet.balancer_by_name["b0"].kernel.get("view")
            return manager.view.loaded

        self.assertTrue(play(scenario))

    def test_registrations_after_a_start_are_not_fetched_in_groups(self):
        """Guards against callers that wait for a group to be complete.

        Pattern: all daemons restart, and the endpoints register one by one.
        """

        async def scenario(fleet):
            await build(fleet, balancers=0)
            lapsed = list(fleet.store.endpoint_by_id)
            for id_ in lapsed:
                fleet.store.remove(id_)
            fleet.add_balancer("b0", "10.0.0.1", "a")
            await anyio.sleep(0.5)
            for id_ in lapsed:
                fleet.store.put(fleet.registration(id_))
                await anyio.sleep(0.1)
            view = fleet.balancer_by_name["b0"].kernel.get("view").view
            return len(lapsed), len(view.endpoint_by_id)

        registered, known = play(scenario)
        self.assertEqual(registered, known)

    def test_a_silent_store_is_asked_again_before_it_times_out(self):
        """Guards against a listing that waits for an answer never sent.

        Pattern: a daemon starts while the store is silent; it returns soon
        after, but answers none of the requests from before.
        """

        async def scenario(fleet):
            fleet.store.configure(
                stream_fleet.configuration(1, stream_fleet.route())
            )
            fleet.store.silent = True
            fleet.add_balancer("b0", "10.0.0.1", "a")
            await anyio.sleep(0.5)
            fleet.store.silent = False
            await anyio.sleep(0.4)
            manager = fleet.balancer_by_name["b0"].kernel.get("view")
            return manager.view.loaded

        self.assertTrue(play(scenario))


class OverloadTest(unittest.TestCase):
    """Pattern: half of the endpoints lost while callers go on as before."""

    def test_goodput_stays_near_capacity_beyond_the_capacity(self):
        """Guards against a collapse in which slots go to those who left.

        Two endpoints with 5 slots and 0.1 s of work bear 100 requests a
        second; 150 are asked for.
        """

        async def scenario(fleet):
            caller = await build(fleet, endpoints=2, work_s=0.1)
            return await load(caller, 150, 8, 1.5)

        outcomes = play(scenario)
        steady = outcomes[300:]
        answered = [item for item in steady if item.kind == "answered"]
        # The bound is the project's target for goodput at overload: 90% of
        # the capacity (design, section 8).
        self.assertGreaterEqual(len(answered), 0.9 * len(steady) * 100 / 150)

    def test_goodput_returns_when_the_overload_ends(self):
        """Guards against requests that count as work after they ended."""

        async def scenario(fleet):
            caller = await build(fleet, endpoints=2, work_s=0.1)
            await load(caller, 200, 4, 1.5)
            await anyio.sleep(2.0)
            return await load(caller, 60, 3, 1.5)

        outcomes = play(scenario)
        self.assertEqual({"answered"}, kinds(outcomes))
        self.assertLess(max(item.seconds for item in outcomes), 0.4)

    def test_new_requests_are_in_time_while_a_backlog_is_worked_off(self):
        """Guards against new requests that wait behind late ones.

        Pattern: all machines return at once. Callers that waited meanwhile
        have missed their objective, and take slots only where no request is
        held up that can still meet its own. Two endpoints with 5 slots and
        0.1 s of work bear 100 requests a second; 50 come, after 90 at once.
        """

        async def scenario(fleet):
            caller = await build(fleet, endpoints=2, work_s=0.1)
            backlog = []

            async def wait():
                backlog.append(await caller.request(SERVICE, 3.0))

            async with anyio.create_task_group() as tasks:
                for _ in range(90):
                    tasks.start_soon(wait)
                await anyio.sleep(0.3)
                fresh = await load(caller, 50, 1.5)
            return fresh, backlog

        fresh, backlog = play(scenario)
        in_time = [
            item
            for item in fresh
            if item.kind == "answered" and item.seconds <= 0.25
        ]
        self.assertGreaterEqual(len(in_time), 0.9 * len(fresh))
        answered = [item for item in backlog if item.kind == "answered"]
        # Callers wait 1.2 s in vain at most, in which 120 requests fit; the
        # new ones take 50 a second from 0.3 s on. The bound is the project's
        # target for goodput at overload, 90% of the capacity.
        left = 100 * 1.2 - 50 * (1.2 - 0.3)
        self.assertGreaterEqual(len(answered), 0.9 * left)

    def test_flows_that_their_callers_left_take_no_slot(self):
        """Guards against slots that half-open flows hold."""

        async def scenario(fleet):
            caller = await build(fleet, endpoints=2, work_s=0.1)
            for _ in range(60):
                await caller.open_only(SERVICE)
                await anyio.sleep(0.01)
            await anyio.sleep(0.5)
            return await load(caller, 60, 1, 1.5)

        outcomes = play(scenario)
        self.assertEqual({"answered"}, kinds(outcomes))
        self.assertLess(max(item.seconds for item in outcomes), 0.4)

    def test_a_request_that_no_endpoint_may_take_is_refused_at_once(self):
        """Guards against callers that wait for what cannot come."""

        async def scenario(fleet):
            caller = await build(fleet, endpoints=2)
            fleet.store.take_out("a")
            fleet.store.take_out("b")
            await anyio.sleep(0.1)
            return await caller.request(SERVICE)

        outcome = play(scenario)
        self.assertEqual("reset", outcome.kind)
        self.assertLess(outcome.seconds, 0.05)


class ColdEndpointTest(unittest.TestCase):
    def test_a_cold_endpoint_gets_no_more_than_it_bears(self):
        """Guards against a sum over several balancers that is too high."""

        async def scenario(fleet):
            caller = await build(fleet, balancers=3)
            fleet.store.configure(
                stream_fleet.configuration(
                    2, stream_fleet.route(), cold_per_s=8.0
                )
            )
            fleet.store.put(fleet.registration("e0", cold_s=3.0))
            await anyio.sleep(0.1)
            started_s = anyio.current_time()
            await load(caller, 90, 3)
            return [
                run.at_s - started_s
                for run in fleet.endpoint_by_name["e0"].openings
                if started_s <= run.at_s < started_s + 2.8
            ]

        times = play(scenario)
        most = max(
            sum(1 for other in times if at <= other < at + 1.0) for at in times
        )
        # 1.5 times the announced rate and 5 more (the deployment's bounds).
        self.assertLessEqual(most, 8 * 1.5 + 5)
        self.assertGreater(len(times), 8)
