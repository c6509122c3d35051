"""Each attempt goes to upstreams of the version that the roll-out's state allows."""

from __future__ import annotations

import unittest
from collections import Counter

from fulmarstile_daemon.services._known_rollout import LEASE_S
from fulmarstile_services.rollouts.version_rules import HOLD_S
from fulmarstile_testing.builders.rollouts import RolloutKnowledge, make_call
from fulmarstile_testing.builders.services import make_announcement
from fulmarstile_wire.rollouts import RolloutPhase

OLD = ["old-1", "old-2"]
NEW = ["new-1", "new-2"]


class VersionChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.daemon = RolloutKnowledge()
        self.daemon.add_upstreams(**dict.fromkeys(OLD, "v1"))
        self.daemon.choose()

    def start(self) -> None:
        """Lets the operator order `v2`, whose upstreams serve."""
        self.daemon.order("v2")
        self.daemon.add_upstreams(**dict.fromkeys(NEW, "v2"))

    def test_a_version_seen_before_its_order_is_held_until_the_order_may_have_come(self) -> None:
        self.daemon.add_upstreams(**dict.fromkeys(NEW, "v2"))
        self.assertEqual(self.daemon.choose_names(), OLD)
        self.daemon.now += HOLD_S - 0.1
        self.assertEqual(self.daemon.choose_names(), OLD)
        self.daemon.now += 0.2
        self.assertEqual(sorted(self.daemon.choose_names()), sorted(OLD + NEW))

    def test_a_daemon_that_could_not_read_the_orders_releases_no_version(self) -> None:
        self.daemon.documents.was_read = False
        self.daemon.add_upstreams(**dict.fromkeys(NEW, "v2"))
        self.daemon.choose()
        self.daemon.now += 100 * HOLD_S
        self.assertEqual(self.daemon.choose_names(), OLD)

    def test_no_request_goes_to_the_target_before_the_state_is_known(self) -> None:
        self.start()
        self.assertEqual(self.daemon.choose_names(), OLD)

    def test_the_share_goes_to_the_canaries_and_the_rest_to_the_baseline(self) -> None:
        self.start()
        self.daemon.tell(share=0.3, canaries=("new-2",))
        chosen = Counter(tuple(self.daemon.choose_names()) for _ in range(4_000))
        self.assertEqual(set(chosen), {tuple(OLD), ("new-2",)})
        self.assertAlmostEqual(chosen["new-2",] / 4_000, 0.3, delta=0.05)

    def test_later_attempts_go_to_the_baseline_whatever_the_first_one_drew(self) -> None:
        self.start()
        self.daemon.tell(share=1.0, canaries=("new-1",))
        call = make_call()
        self.assertEqual(self.daemon.choose_names(call), ["new-1"])
        for _ in range(5):
            self.assertEqual(self.daemon.choose_names(call), OLD)

    def test_the_baseline_is_the_alternative_if_no_canary_can_be_chosen(self) -> None:
        self.start()
        self.daemon.tell(share=1.0, canaries=("new-1",))
        call = make_call()
        canaries = self.daemon.choose(call)
        found = self.daemon.choice.find_alternative(call, canaries)
        self.assertEqual([member.name for member in found], OLD)
        self.assertEqual(self.daemon.choice.find_alternative(call, found), ())

    def test_a_daemon_that_is_cut_off_uses_only_the_baseline_once_its_lease_ends(self) -> None:
        self.start()
        self.daemon.tell(share=1.0, canaries=("new-1",))
        self.daemon.now += LEASE_S - 0.1
        self.assertEqual(self.daemon.choose_names(), ["new-1"])
        self.daemon.now += 0.2
        self.assertEqual(self.daemon.choose_names(), OLD)

    def test_all_requests_move_at_the_announced_age_without_another_message(self) -> None:
        self.start()
        rollout = self.daemon.rollouts.find("shop")
        assert rollout is not None
        promote_at_ms = int((rollout.age_s(self.daemon.now) + 0.5) * 1000)
        self.daemon.tell(promote_at_ms=promote_at_ms)
        self.daemon.now += 0.4
        self.assertEqual(self.daemon.choose_names(), OLD)
        self.daemon.now += 0.2
        self.assertEqual(self.daemon.choose_names(), sorted(NEW))

    def test_a_retry_after_the_promotion_does_not_disturb_the_baseline(self) -> None:
        self.start()
        call = make_call()
        self.daemon.choose(call)
        self.daemon.tell(RolloutPhase.PROMOTED, promote_at_ms=1)
        self.daemon.now += 0.01
        self.assertEqual(self.daemon.choose_names(call), sorted(NEW))

    def test_a_request_that_the_baseline_refuses_as_moved_goes_to_the_target(self) -> None:
        self.start()
        call = make_call()
        self.assertEqual(self.daemon.choose_names(call), OLD)
        call.is_version_moved = True
        self.assertEqual(self.daemon.choose_names(call), sorted(NEW))
        self.daemon.tell(RolloutPhase.ROLLED_BACK)
        self.assertEqual(self.daemon.choose_names(call), OLD)

    def test_the_target_serves_if_the_baseline_is_gone_and_no_roll_back_is_known(self) -> None:
        self.start()
        self.daemon.remove_upstreams(*OLD)
        self.assertEqual(self.daemon.choose_names(), sorted(NEW))

    def test_after_a_roll_back_the_target_gets_nothing_even_if_nothing_else_serves(self) -> None:
        self.start()
        self.daemon.tell(share=1.0, canaries=("new-1",))
        self.daemon.choose()
        self.daemon.tell(RolloutPhase.ROLLED_BACK)
        self.assertEqual(self.daemon.choose_names(), OLD)
        self.daemon.remove_upstreams(*OLD)
        self.assertEqual(self.daemon.choose_names(), [])

    def test_a_new_order_for_a_version_rolled_back_lets_it_take_part_again(self) -> None:
        self.start()
        self.daemon.tell(RolloutPhase.ROLLED_BACK)
        self.daemon.order("v2", offset=2)
        self.daemon.tell(share=1.0, canaries=("new-1",))
        self.assertEqual(self.daemon.choose_names(), ["new-1"])

    def test_after_a_completion_other_versions_get_nothing(self) -> None:
        self.start()
        self.daemon.tell(RolloutPhase.COMPLETED, is_recorded=True)
        self.assertEqual(self.daemon.choose_names(), sorted(NEW))
        self.daemon.remove_upstreams(*NEW)
        self.assertEqual(self.daemon.choose_names(), [])

    def test_a_second_order_takes_the_first_ones_target_out(self) -> None:
        self.start()
        self.daemon.tell(share=1.0, canaries=("new-1",))
        self.daemon.order("v3", offset=2)
        self.daemon.add_upstreams(third="v3")
        self.assertEqual(self.daemon.choose_names(), OLD)
        self.daemon.tell(share=1.0, canaries=("third",))
        self.assertEqual(self.daemon.choose_names(), ["third"])

    def test_a_rejected_order_allows_nothing(self) -> None:
        rollout = self.daemon.order("v2", duration_s=-1.0)
        self.assertIn("not positive", rollout.problem)
        self.daemon.add_upstreams(**dict.fromkeys(NEW, "v2"))
        self.assertEqual(self.daemon.choose_names(), OLD)
        self.daemon.tell(RolloutPhase.ROLLED_BACK)
        self.daemon.now += 2 * HOLD_S
        self.assertEqual(self.daemon.choose_names(), OLD)

    def test_a_rejected_order_for_the_version_in_force_does_not_stop_the_service(self) -> None:
        self.daemon.order("v1", duration_s=-1.0)
        self.daemon.tell(RolloutPhase.ROLLED_BACK)
        self.assertEqual(self.daemon.choose_names(), OLD)

    def test_a_roll_back_to_the_version_in_force_does_not_stop_the_service(self) -> None:
        self.daemon.now += 2 * HOLD_S
        self.daemon.choose_names()
        self.daemon.order("v1")
        self.daemon.tell(RolloutPhase.ROLLED_BACK)
        self.assertEqual(self.daemon.choose_names(), OLD)

    def test_the_version_in_force_stays_in_force_after_two_abandoned_orders(self) -> None:
        self.daemon.now += 2 * HOLD_S
        self.daemon.choose_names()
        self.start()
        self.daemon.order("v1", offset=2)
        self.daemon.order("v3", offset=3)
        self.daemon.add_upstreams(third="v3")
        self.assertEqual(self.daemon.choose_names(), OLD)

    def test_tuples_stay_the_same_objects_while_their_members_do(self) -> None:
        self.start()
        self.daemon.tell(share=0.5, canaries=("new-1",))
        before = {id(self.daemon.choose()) for _ in range(50)}
        self.daemon.add_upstreams(other="v2")
        self.daemon.tell(share=0.4, canaries=("new-1",), promote_at_ms=60_000)
        after = {id(self.daemon.choose()) for _ in range(50)}
        self.assertEqual(len(before), 2)
        self.assertEqual(before, after)


class RefusalTest(unittest.TestCase):
    def setUp(self) -> None:
        self.daemon = RolloutKnowledge()
        self.daemon.order("v2")

    def refuses(self, version: str) -> bool:
        announcement = make_announcement(version=version)
        return self.daemon.rollouts.find_refusal(announcement) is not None

    def test_the_daemon_beside_a_target_refuses_only_after_a_roll_back(self) -> None:
        self.assertFalse(self.refuses("v2"))
        self.daemon.tell(RolloutPhase.ROLLED_BACK)
        self.assertEqual((self.refuses("v1"), self.refuses("v2")), (False, True))

    def test_the_daemon_beside_a_baseline_upstream_refuses_after_a_completion(self) -> None:
        self.daemon.tell(RolloutPhase.PROMOTED, promote_at_ms=1)
        self.assertFalse(self.refuses("v1"))
        self.daemon.tell(RolloutPhase.COMPLETED, is_recorded=True)
        self.assertEqual((self.refuses("v1"), self.refuses("v2")), (True, False))

    def test_a_recorded_completion_replaces_a_roll_back_that_was_not_recorded(self) -> None:
        self.daemon.tell(RolloutPhase.ROLLED_BACK)
        self.daemon.tell(RolloutPhase.COMPLETED, is_recorded=True)
        self.assertEqual((self.refuses("v1"), self.refuses("v2")), (True, False))


if __name__ == "__main__":
    unittest.main()
