"""Rules for sending a call again after each attempt."""

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad.types import Ran
from fulmarroad_serving import CallProgress, SendOutcome


class TestAtMostOnce:
    def test_an_at_most_once_call_is_not_sent_again_after_an_unknown_outcome(self):
        """A server makes a booking and its answer is lost. If the router sent the call
        again, or reported it as not run so that the caller did, it would book twice.
        """
        progress = CallProgress(repeatable=False, max_attempts=3)
        progress.note_send("a")
        progress.note_outcome(SendOutcome.UNKNOWN, "a")
        assert not progress.may_send
        assert progress.ran is Ran.UNKNOWN

    def test_a_call_that_the_server_did_not_run_may_be_sent_again(self):
        progress = CallProgress(repeatable=False, max_attempts=2)
        progress.note_send("a")
        progress.note_outcome(SendOutcome.NOT_RUN, "a")
        assert progress.may_send
        assert progress.ran is Ran.NOT_RUN

    @settings(derandomize=True, deadline=None)
    @given(
        st.booleans(),
        st.integers(1, 4),
        st.lists(st.sampled_from(list(SendOutcome)), max_size=8),
    )
    def test_any_sequence_of_outcomes_keeps_the_retry_rules(
        self, repeatable, max_attempts, outcomes
    ):
        progress = CallProgress(repeatable, max_attempts)
        ran = sent = 0
        for outcome in outcomes:
            if not progress.may_send:
                break
            if outcome is not SendOutcome.NOT_SENT:
                progress.note_send("s")
                sent += 1
            progress.note_outcome(outcome, "s")
            ran += outcome in (SendOutcome.UNKNOWN, SendOutcome.FAILED)
            assert (progress.ran is Ran.NOT_RUN) == (ran == 0)
        assert sent <= max_attempts
        assert repeatable or ran <= 1


class TestResuming:
    def test_a_begun_answer_is_resumed_only_after_a_known_event(self):
        progress = CallProgress(repeatable=True, max_attempts=2)
        progress.note_send("a")
        progress.answer_begun = True
        progress.note_outcome(SendOutcome.UNKNOWN, "a")
        assert not progress.may_send
        progress.last_event_id = "4"
        assert progress.may_send
