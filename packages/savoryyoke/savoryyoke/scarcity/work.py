"""Estimate the work that a request needs."""

from savoryyoke.scarcity import conf

# Weight of a request in the mean sizes, which cover about the last 20 of them.
_WEIGHT = 0.05


class WorkEstimator:
    """Compare the size of requests with the mean size that was seen.

    An engine reads a prompt in little time and writes the answer in most of
    it, so that both parts of the size are compared by themselves.
    """

    def __init__(self):
        self._mean_prompt_tokens = None
        self._mean_answer_tokens = None

    def estimate(self, size):
        """Return the work of a request; 1 is that of the mean request.

        ``size`` has ``prompt_tokens`` and ``answer_tokens``, or is None if
        the request doesn't state them.
        """
        if size is None:
            return 1.0
        prompt_tokens = _bound(size.prompt_tokens, self._mean_prompt_tokens)
        answer_tokens = _bound(size.answer_tokens, self._mean_answer_tokens)
        self._mean_prompt_tokens = _average(
            self._mean_prompt_tokens, prompt_tokens
        )
        self._mean_answer_tokens = _average(
            self._mean_answer_tokens, answer_tokens
        )
        work = (
            prompt_tokens / self._mean_prompt_tokens
            + answer_tokens / self._mean_answer_tokens
        ) / 2
        return min(work, conf.WORK_MAX)


def _bound(tokens, mean_tokens):
    """Return a number of tokens that can't distort the mean."""
    if mean_tokens is not None:
        tokens = min(tokens, conf.WORK_MAX * mean_tokens)
    return max(min(tokens, conf.TOKENS_MAX), 1)


def _average(mean, value):
    return value if mean is None else mean + _WEIGHT * (value - mean)
