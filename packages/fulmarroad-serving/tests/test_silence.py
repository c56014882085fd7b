"""Which servers send nothing although calls wait for them."""

import pytest

from fulmarroad_serving._silence import SILENT_S, ServerVoice

BEGIN = 100.0


def voice_of(*calls, heard_at=BEGIN, pause_objective_s=0.2):
    """Return the record of a server; `calls` are the times from which bytes are due."""
    voice = ServerVoice()
    for number, due_at in enumerate(calls):
        voice.expect(number, due_at, pause_objective_s)
    voice.note_heard(heard_at)
    return voice


class TestServerVoice:
    @pytest.mark.parametrize(
        ("calls", "after_s", "silent"),
        [
            ([], 60.0, False),  # nobody waits
            ([BEGIN], SILENT_S - 0.01, False),
            ([BEGIN], SILENT_S + 0.01, True),
            ([BEGIN + 2.0], 2.0, False),  # in its queue, as estimated
            ([BEGIN + 2.0], 2.0 + SILENT_S + 0.01, True),
            ([BEGIN + 2.0, BEGIN], SILENT_S + 0.01, True),
        ],
    )
    def test_is_silent_while_it_owes_bytes(self, calls, after_s, silent):
        assert voice_of(*calls).is_silent(BEGIN + after_s) is silent

    def test_a_byte_to_any_call_ends_the_silence(self):
        voice = voice_of(BEGIN, BEGIN)
        voice.note_heard(BEGIN + 1.2)
        assert not voice.is_silent(BEGIN + 1.3)
        assert voice.resumed_at == BEGIN + 1.2

    def test_streams_with_long_pauses_are_waited_for_longer(self):
        assert not voice_of(BEGIN, pause_objective_s=1.0).is_silent(BEGIN + 2.4)

    def test_a_server_is_not_silent_after_the_last_call_ended(self):
        voice = voice_of(BEGIN)
        voice.settle(0)
        assert not voice.is_silent(BEGIN + 9.0)
