"""Thrift messages and RPC between arbutusrill processes."""

from ._client import NotSentError, RpcClient, RpcError
from ._frames import MAX_FRAME_BYTES, FrameError
from ._idl import decode, encode, messages
from ._server import RpcServer

__all__ = [
    "MAX_FRAME_BYTES",
    "FrameError",
    "NotSentError",
    "RpcClient",
    "RpcError",
    "RpcServer",
    "decode",
    "encode",
    "messages",
]
