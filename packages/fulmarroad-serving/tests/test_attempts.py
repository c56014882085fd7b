"""What may be done with a call after each of its sends."""

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarroad.types import Ran
from fulmarroad_serving import CallProgress, SendOutcome


class TestAtMostOnce:
    def test_an_unknown_outcome_ends_a_call_that_may_not_be_repeated(self):
        """A server runs a booking and its answer is lost. Sent again, the booking would
        land twice; told as not run, the caller would send it again itself.
        """
        progress = CallProgress(repeatable=False, max_attempts=3)
        progress.note_send("a")
        progress.note_outcome(SendOutcome.UNKNOWN, "a")
        assert not progress.may_send
        assert progress.ran is Ran.UNKNOWN

    def test_a_call_that_the_server_did_not_run_goes_on(self):
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
    def test_no_sequence_of_outcomes_breaks_a_promise(self, repeatable, most, outcomes):
        progress = CallProgress(repeatable, most)
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
        assert sent <= most
        assert repeatable or ran <= 1


class TestResuming:
    def test_a_begun_answer_goes_on_only_after_a_known_event(self):
        progress = CallProgress(repeatable=True, max_attempts=2)
        progress.note_send("a")
        progress.answer_begun = True
        progress.note_outcome(SendOutcome.UNKNOWN, "a")
        assert not progress.may_send
        progress.last_event_id = "4"
        assert progress.may_send
