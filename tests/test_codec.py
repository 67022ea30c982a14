"""Tests of the frame codec with generated and corrupted frames."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from dandelioncleat.adapters.frames.codec import (
    Frame,
    FrameKind,
    decode_frame,
    encode_frame,
)
from dandelioncleat.core.failure import FailureError
from dandelioncleat.core.message import Message
from dandelioncleat.core.topic_message import TopicMessage
from tests.builders.message import chunk

MESSAGE_TYPES = (
    *(each for each in Message.__subclasses__() if each is not TopicMessage),
    *TopicMessage.__subclasses__(),
)


def texts() -> st.SearchStrategy[str]:
    return st.text(st.characters(exclude_categories=['Cs']), max_size=20)


def messages() -> st.SearchStrategy[Message]:
    st.register_type_strategy(str, texts())
    st.register_type_strategy(int, st.integers(0, 2**40))
    # NaN is decoded correctly but does not equal itself.
    st.register_type_strategy(float, st.floats(allow_nan=False))
    return st.one_of([st.from_type(kind) for kind in MESSAGE_TYPES])


class CodecTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(messages())
    def test_every_message_round_trips(self, message: Message) -> None:
        frame = Frame(7, FrameKind.REPLY, 3, 'trace', message)
        self.assertThat(
            decode_frame(encode_frame(frame), peer='peer'),
            Equals(frame),
        )

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_are_a_failure_or_a_frame(
        self, data: bytes
    ) -> None:
        try:
            frame = decode_frame(data, peer='peer')
        except FailureError as error:
            self.assertThat(error.failure.peer, Equals('peer'))
        else:
            self.assertIsInstance(frame, Frame)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.integers(0, 200), st.integers(0, 255))
    def test_a_corrupted_frame_is_a_failure_or_a_frame(
        self,
        position: int,
        value: int,
    ) -> None:
        data = bytearray(
            encode_frame(Frame(1, FrameKind.REPLY, 1, '', chunk()))
        )
        data[position % len(data)] = value
        try:
            frame = decode_frame(bytes(data), peer='peer')
        except FailureError as error:
            self.assertThat(error.failure.step, Equals('decode frame'))
        else:
            self.assertIsInstance(frame, Frame)
