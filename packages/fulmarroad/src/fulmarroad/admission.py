"""Admission control and retry budgets."""

from fulmarroad._admission import Admission as Admission
from fulmarroad._admission import LoadView as LoadView
from fulmarroad._admission import Refusal as Refusal
from fulmarroad._retries import Attempt as Attempt
from fulmarroad._retries import RetryBudget as RetryBudget
from fulmarroad._retries import RetryDecision as RetryDecision
