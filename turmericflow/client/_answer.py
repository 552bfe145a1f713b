"""Answers to callers, assembled from server-sent events."""

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
    """One token of an answer.

    Attributes
    ----------
    index, text
        Position of the token in the answer, and its text.
    received_at
        Time of arrival, in seconds of the monotonic clock.
    attempt
        Number of the attempt that produced the token.
    """

    index: int
    text: str
    received_at: float
    attempt: int = 0


@dataclass(slots=True)
class Answer:
    """The answer to one request, as far as the caller has received it.

    Attributes
    ----------
    tokens
        The received tokens, in order.
    last_event_id
        Id of the last token's event, or empty.
    whole
        Whether the end event was received and its count and digest match.
    failure
        The error that ended the request, or None.
    reconnects
        How often the client reconnected, at the next address.
    tokens_at_reconnect
        Number of tokens received before each reconnect.
    reconnect_causes
        Cause of each reconnect: a connection error, or a refusal.
    start
        Index of the first token, above 0 if the answer was resumed.
    body
        JSON body of a reply that is not an event stream.
    """

    tokens: list[Token] = field(default_factory=list)
    last_event_id: str = ""
    whole: bool = False
    failure: Failure | None = None
    reconnects: int = 0
    tokens_at_reconnect: list[int] = field(default_factory=list)
    reconnect_causes: list[str] = field(default_factory=list)
    start: int = 0
    body: dict = field(default_factory=dict)

    @classmethod
    def from_last_event_id(cls, last_event_id: str) -> Answer:
        """Return an empty answer that resumes after an event.

        Raises
        ------
        ValueError, IndexError
            If the event id is malformed.
        """
        if not last_event_id:
            return cls()
        return cls(
            last_event_id=last_event_id, start=int(last_event_id.split(".")[2]) + 1
        )

    @property
    def text(self) -> str:
        """Text received so far."""
        return "".join(token.text for token in self.tokens)

    @property
    def ended(self) -> bool:
        """Whether the answer is complete or has failed."""
        return self.whole or self.failure is not None


class BadReply(Exception):
    """Raised when no router replies or a reply does not follow the HTTP interface."""


def parse_failure(body: Any) -> Failure:
    """Return the failure described by a JSON error body.

    Raises
    ------
    BadReply
        If the body is not a valid error.
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
        raise BadReply(
            f"got an invalid error body, expected code, verdict and message: {exc!r}"
        ) from exc


class EventReader:
    """Assembles an answer from the lines of server-sent events."""

    __slots__ = ("_answer", "_event", "_id", "_on_token", "stream_failure")

    def __init__(
        self, answer: Answer, on_token: Callable[[Token], None] | None
    ) -> None:
        self._answer = answer
        self._on_token = on_token
        self._event = ""
        self._id = ""
        self.stream_failure: Failure | None = None

    def feed(self, line: bytes) -> None:
        """Process one line.

        Raises
        ------
        BadReply
            If the line is not part of a valid event.
        """
        try:
            name, _, value = line.decode().rstrip("\r\n").partition(": ")
            match name:
                case "event":
                    self._event = value
                case "id":
                    self._id = value
                case "data":
                    self._handle_event(json.loads(value))
                    self._event = self._id = ""
        except (ValueError, KeyError, TypeError) as exc:
            raise BadReply(f"got an invalid server-sent event: {exc!r}") from exc

    def _handle_event(self, data: dict) -> None:
        match self._event:
            case "end":
                self._check_end(data)
            case "error":
                self.stream_failure = parse_failure(data)
            case "":
                _, attempt, _ = self._id.split(".")
                token = Token(
                    data["index"], data["text"], time.monotonic(), int(attempt)
                )
                self._answer.tokens.append(token)
                self._answer.last_event_id = self._id
                if self._on_token is not None:
                    self._on_token(token)

    def _check_end(self, data: dict) -> None:
        answer = self._answer
        digest = hashlib.sha256(answer.text.encode()).hexdigest()
        count = answer.start + len(answer.tokens)
        digest_ok = answer.start > 0 or digest == data["digest"]
        if digest_ok and count == data["count"]:
            answer.whole = True
            return
        message = (
            f"got {count} tokens, expected {data['count']} with the announced digest"
        )
        answer.failure = Failure(ErrorCode.INTERNAL, Verdict.RAN, message)
