"""Estimate how fast engines are, how long their answers get and when slots free."""

from fulmarroad_serving.engines._answer_lengths import AnswerKind as AnswerKind
from fulmarroad_serving.engines._answer_lengths import AnswerLengths as AnswerLengths
from fulmarroad_serving.engines._answer_lengths import ExpectedLength as ExpectedLength
from fulmarroad_serving.engines._answer_lengths import OutputLimits as OutputLimits
from fulmarroad_serving.engines._slot_times import SlotTimes as SlotTimes
