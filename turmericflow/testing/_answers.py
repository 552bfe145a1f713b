"""Checks that an answer holds every token of one sampling run, in order."""

from __future__ import annotations

from dataclasses import dataclass

from turmericflow.testing._sampling import link_after, run_of_token


@dataclass(slots=True, frozen=True)
class AnswerCheck:
    """Faults found in an answer, in tokens.

    Attributes
    ----------
    missing, repeated
        Number of tokens that are absent, or that arrived more than once.
    stitched
        Number of tokens that do not continue the token before them.
    """

    missing: int
    repeated: int
    stitched: int

    @property
    def ok(self) -> bool:
        """Whether the answer has no fault."""
        return not (self.missing or self.repeated or self.stitched)


def check_answer(tokens: list[str], count: int | None = None) -> AnswerCheck:
    """Count missing, repeated and stitched tokens of an answer.

    Parameters
    ----------
    tokens
        Texts of the answer's tokens, in the order of arrival.
    count
        Expected number of tokens; None to expect all up to the highest index.

    Returns
    -------
    AnswerCheck
        Faults found.
    """
    indexes = [int(text.split(".")[1]) for text in tokens]
    repeated = len(indexes) - len(set(indexes))
    expected = count if count is not None else max(indexes, default=-1) + 1
    missing = len(set(range(expected)) - set(indexes))
    stitched = sum(
        1
        for previous, token in zip(tokens, tokens[1:])
        if run_of_token(previous) != run_of_token(token)
        or token.split(".")[2] != link_after(previous)
    )
    return AnswerCheck(missing, repeated, stitched)
