"""Encodes peer messages as pycapnp frames.

A frame names the message's class. Its plain fields are one JSON object;
its `bytes` fields follow unchanged. A reader ignores fields that it does
not know and takes the default of those that are missing, so that two
versions can read each other's messages.
"""

import functools
import pathlib
import typing

import attrs
import capnp
import cattrs
from cattrs.preconf import orjson as cattrs_orjson
import orjson

from samphiregate.core import base
from samphiregate import errors

capnp.remove_import_hook()
SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("_frames.capnp")))

_converter = cattrs_orjson.make_converter()


class UnknownMessageError(errors.SamphiregateError):
    """A frame of a class that this version does not have."""

    def __init__(self, kind):
        super().__init__(
            errors.ErrorCode.BAD_INPUT, f"unknown message class {kind}"
        )
        self.kind = kind


@attrs.frozen
class EncodedFrame:
    """A message ready to be put into a batch.

    Parameters
    ----------
    kind : str
        Name of the message's class.
    fields : bytes
        Plain fields as JSON.
    payloads : tuple of bytes
        Byte fields in the order of their declaration.
    """

    kind: str
    fields: bytes
    payloads: tuple[bytes, ...]

    @property
    def size(self):
        """Approximate encoded size in bytes."""
        return len(self.fields) + sum(map(len, self.payloads)) + 64


def encode_frame(message):
    """Encodes one message.

    Parameters
    ----------
    message : PeerMessage

    Returns
    -------
    EncodedFrame
    """
    cls = type(message)
    byte_fields = _byte_fields(cls)
    fields = _unstructure_hook(cls)(message)
    payloads = tuple(getattr(message, name) for name in byte_fields)
    return EncodedFrame(cls.__name__, orjson.dumps(fields), payloads)


def decode_frames(frames):
    """Yields the message of each frame, or the error for that frame.

    Parameters
    ----------
    frames : iterable
        Frames of a `Batch` as pycapnp readers.

    Yields
    ------
    PeerMessage or SamphiregateError
    """
    for frame in frames:
        try:
            yield _decode(frame)
        except errors.SamphiregateError as error:
            yield error


def encode_message(message):
    """Encodes a message that is sent alone, as bytes."""
    frame = encode_frame(message)
    built = SCHEMA.Frame.new_message(
        kind=frame.kind, fields=frame.fields, payloads=list(frame.payloads)
    )
    return built.to_bytes()


def decode_message(data):
    """Decodes a message that was sent alone.

    Raises
    ------
    SamphiregateError
        For bytes that hold no message of a class known here.
    """
    try:
        with SCHEMA.Frame.from_bytes(data) as frame:
            return _decode(frame)
    except capnp.KjException as error:
        raise errors.BadInputError(f"no message: {error}") from error


def _decode(frame):
    cls = _class_by_kind(frame.kind)
    try:
        fields = dict(orjson.loads(frame.fields))
        byte_fields = _byte_fields(cls)
        fields.update(zip(byte_fields, map(bytes, frame.payloads)))
        return _structure_hook(cls)(fields, cls)
    except (TypeError, ValueError, KeyError, cattrs.BaseValidationError):
        raise errors.BadInputError(f"malformed {frame.kind}") from None


@functools.cache
def _byte_fields(cls):
    hints = typing.get_type_hints(cls)
    return tuple(
        field.name for field in attrs.fields(cls) if hints[field.name] is bytes
    )


@functools.cache
def _unstructure_hook(cls):
    omitted = {
        name: cattrs.gen.override(omit=True) for name in _byte_fields(cls)
    }
    return cattrs.gen.make_dict_unstructure_fn(
        cls, _converter, _cattrs_omit_if_default=True, **omitted
    )


@functools.cache
def _structure_hook(cls):
    as_is = {
        name: cattrs.gen.override(struct_hook=lambda value, _kind: value)
        for name in _byte_fields(cls)
    }
    return cattrs.gen.make_dict_structure_fn(cls, _converter, **as_is)


_classes_by_kind = {}


def _class_by_kind(kind):
    if kind not in _classes_by_kind:
        _classes_by_kind.update(
            {cls.__name__: cls for cls in _subclasses(base.PeerMessage)}
        )
    try:
        return _classes_by_kind[kind]
    except KeyError:
        raise UnknownMessageError(kind) from None


def _subclasses(cls):
    for subclass in cls.__subclasses__():
        yield subclass
        yield from _subclasses(subclass)
