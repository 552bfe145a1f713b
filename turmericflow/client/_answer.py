"""What a caller has received, and the events that it is put together from."""

from __future__ import annotations

import hashlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from turmericflow.verdict import ErrorCode, Failure, Verdict


@dataclass(slots=True, frozen=True)
class Token:
    """One token.

    Attributes
    ----------
    index, text
        Its place in the answer, and its text.
    at
        Time at which it came, in seconds of a local clock.
    attempt
        Number of the attempt that it came from.
    """

    index: int
    text: str
    at: float
    attempt: int = 0


@dataclass(slots=True)
class Answer:
    """What a caller has received.

    Attributes
    ----------
    tokens
        The tokens in order.
    last_id
        Id of the last token's event.
    whole
        Whether the end came and its count and digest match.
    failure
        The error that ended the request, or None.
    reconnects
        How often the caller went on at another address.
    lost_at
        Number of tokens that the caller had each time it did so.
    lost_by
        What made it do so each time: an error of the connection, or a refusal.
    start
        Index of the first token, above 0 if the caller came for the rest.
    body
        The JSON body of an answer that is not a stream.
    """

    tokens: list[Token] = field(default_factory=list)
    last_id: str = ""
    whole: bool = False
    failure: Failure | None = None
    reconnects: int = 0
    lost_at: list[int] = field(default_factory=list)
    lost_by: list[str] = field(default_factory=list)
    start: int = 0
    body: dict = field(default_factory=dict)

    @classmethod
    def from_last_id(cls, last_id: str) -> Answer:
        """Return the rest of an answer after an event.

        Raises
        ------
        ValueError
            If the event's id is out of form.
        """
        if not last_id:
            return cls()
        return cls(last_id=last_id, start=int(last_id.split(".")[2]) + 1)

    @property
    def text(self) -> str:
        """The whole text so far."""
        return "".join(token.text for token in self.tokens)

    @property
    def ended(self) -> bool:
        """Whether nothing more comes."""
        return self.whole or self.failure is not None


class BadReply(Exception):
    """Raised when a router's answer is not of the interface's form."""


def parse_failure(body: Any) -> Failure:
    """Return the failure that a JSON error stands for.

    Raises
    ------
    BadReply
        If it stands for none.
    """
    try:
        error = body["error"]
        return Failure(
            ErrorCode(error["code"]),
            Verdict(error["verdict"]),
            error["message"],
            error.get("retry_after_s"),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise BadReply(f"got no typed error: {exc!r}") from exc


class EventReader:
    """Puts an answer together from the lines of server-sent events."""

    __slots__ = ("_answer", "_event", "_id", "_on_token", "interrupted")

    def __init__(
        self, answer: Answer, on_token: Callable[[Token], None] | None
    ) -> None:
        self._answer = answer
        self._on_token = on_token
        self._event = ""
        self._id = ""
        self.interrupted: Failure | None = None

    def feed(self, line: bytes) -> None:
        """Take one line in.

        Raises
        ------
        BadReply
            If it is not of the interface's form.
        """
        try:
            name, _, value = line.decode().rstrip("\r\n").partition(": ")
            match name:
                case "event":
                    self._event = value
                case "id":
                    self._id = value
                case "data":
                    self._take(json.loads(value))
                    self._event = self._id = ""
        except (ValueError, KeyError, TypeError) as exc:
            raise BadReply(f"got no event of the interface: {exc!r}") from exc

    def _take(self, data: dict) -> None:
        match self._event:
            case "end":
                self._end(data)
            case "error":
                self.interrupted = parse_failure(data)
            case "":
                _, attempt, _ = self._id.split(".")
                token = Token(
                    data["index"], data["text"], time.monotonic(), int(attempt)
                )
                self._answer.tokens.append(token)
                self._answer.last_id = self._id
                if self._on_token is not None:
                    self._on_token(token)

    def _end(self, data: dict) -> None:
        answer = self._answer
        digest = hashlib.sha256(answer.text.encode()).hexdigest()
        count = answer.start + len(answer.tokens)
        known = answer.start > 0 or digest == data["digest"]
        if known and count == data["count"]:
            answer.whole = True
            return
        message = f"got {count} tokens, expected {data['count']} of another digest"
        answer.failure = Failure(ErrorCode.INTERNAL, Verdict.RAN, message)
