"""Checks of an answer's tokens against the sampling run that they name."""

from __future__ import annotations

from dataclasses import dataclass

from turmericflow.testing._sampling import link_after, run_of_token


@dataclass(slots=True, frozen=True)
class AnswerCheck:
    """What is wrong with an answer, in tokens.

    Attributes
    ----------
    missing, repeated
        Tokens missing and repeated.
    stitched
        Places at which a token does not follow from the one before it.
    """

    missing: int
    repeated: int
    stitched: int

    @property
    def ok(self) -> bool:
        """Whether nothing is wrong."""
        return not (self.missing or self.repeated or self.stitched)


def check_answer(tokens: list[str], count: int | None = None) -> AnswerCheck:
    """Check an answer.

    Parameters
    ----------
    tokens
        Texts of the answer's tokens, in the order of arrival.
    count
        Number of tokens that the answer should have, or None.

    Returns
    -------
    AnswerCheck
        What is wrong with it.
    """
    indexes = [int(text.split(".")[1]) for text in tokens]
    repeated = len(indexes) - len(set(indexes))
    expected = count if count is not None else max(indexes, default=-1) + 1
    missing = len(set(range(expected)) - set(indexes))
    stitched = sum(
        1
        for before, after in zip(tokens, tokens[1:])
        if run_of_token(before) != run_of_token(after)
        or after.split(".")[2] != link_after(before)
    )
    return AnswerCheck(missing, repeated, stitched)
