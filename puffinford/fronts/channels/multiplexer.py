"""Channels multiplexed over one connection: flow control, closing, and errors (RFC 4254, section 5).

The reader never waits for a channel and the writer serves channels in turn, so that a slow channel does not
delay the others.
"""

from __future__ import annotations

import contextlib
import logging
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import replace

import anyio
import anyio.abc
from anyio.lowlevel import checkpoint

from puffinford.core.clock import Clock
from puffinford.core.values import ConnectionBroken, PeerClosed
from puffinford.fronts.accepting import ConnectionTracker
from puffinford.fronts.channels import codec
from puffinford.fronts.fair_turns import MESSAGE_COST, OPEN_COST, WorkShare
from puffinford.fronts.sockets import TcpStream

log = logging.getLogger(__name__)

WINDOW_BYTES = 16_384  # unread data that a peer may send on a channel
MAX_WINDOW_BYTES = 0xFFFFFFFF
MAX_CHANNELS = 64  # open channels of one connection
MAX_UNREAD_REQUESTS = 256  # requests that a channel buffers; the window limits data, but not them
NOTE_BYTES = 4  # the number of a NOTE; no request's own data beyond it is kept
RECEIVER_TURNS = 4  # turns of the event loop for a full channel's receiver to make room
MAX_QUEUED_MESSAGES = 1_024  # messages to a peer that does not read
MAX_FORWARDED_MESSAGES = 512  # of them, before requests that are passed on to the peer wait
VERSION_TIMEOUT_MS = 2_700.0  # for a peer's version line, and for the rest of a CHANNEL_OPEN
IDLE_TIMEOUT_MS = 10_000.0  # for a connection without a channel

OpenMessage = codec.ChannelOpen


class OpenRefused(Exception):
    """The peer answered an open with CHANNEL_OPEN_FAILURE."""

    def __init__(self, reason: int, description: str) -> None:
        super().__init__(description)
        self.reason = reason
        self.description = description


class ChannelViolation(Exception):
    """The peer broke the rules of one channel, which is closed; the connection and the others go on."""


class Channel:
    """One channel, at either end."""

    def __init__(self, multiplexer: Multiplexer, local_id: int) -> None:
        self.multiplexer = multiplexer
        self.local_id = local_id
        self.remote_id: int | None = None
        self.confirmation = b""
        self.refusal: OpenRefused | None = None
        self.is_open = False  # the open was confirmed
        self.answered = anyio.Event()  # set when the open is answered or the connection lost
        self.cancelled = False
        self.open_sent = False  # whether all of the CHANNEL_OPEN has been written
        self.on_sent: Callable[[], None] | None = None  # called when `open_sent` is set
        self.open_message: codec.ChannelOpen | None = None  # the open, if this end sent it
        self._receive_window = WINDOW_BYTES
        self._unannounced_bytes = 0  # of the receive window, for the next WINDOW_ADJUST
        self._send_window = 0
        self._max_data_bytes = 0
        # In order of arrival. Data between two requests is one item, however many messages it came in.
        self._unread: deque[bytearray | codec.ChannelRequest] = deque()
        self._unread_requests = 0
        self._changed = anyio.Event()
        self._unsent = bytearray()
        self._drained = anyio.Event()
        self._drained.set()
        self._eof_received = self._eof_sent = False
        self._close_received = self._close_sent = False

    @property
    def connection_lost(self) -> bool:
        """Whether the connection sends no more messages of this channel."""
        return self.multiplexer.closed

    # Called by the request's ChannelConnection

    async def receive(self) -> bytes | codec.ChannelRequest:
        """Return the next data or request; raises PeerClosed after EOF, else ConnectionBroken."""
        while not self._unread:
            if self._eof_received:
                raise PeerClosed
            if self._close_received or self._close_sent or self.connection_lost:
                raise ConnectionBroken("channel closed")
            self._changed = anyio.Event()
            await self._changed.wait()
        item = self._unread.popleft()
        if isinstance(item, bytearray):
            self._restore_window(len(item))
            return bytes(item)
        self._unread_requests -= 1
        return item

    def _restore_window(self, count: int) -> None:
        """Return `count` bytes to the peer's window, announced with the connection's next write.

        Prevents a WINDOW_ADJUST for each small piece from filling the queue to a peer that reads slowly.
        """
        self._receive_window += count
        self._unannounced_bytes += count
        self.multiplexer.schedule_write(self)

    def next_window_adjust(self) -> codec.WindowAdjust | None:
        """Return the message that announces the bytes returned to the peer's window, or None."""
        count, self._unannounced_bytes = self._unannounced_bytes, 0
        ended = self._close_received or self._close_sent or self._eof_received
        if not count or ended or self.remote_id is None:
            return None
        return codec.WindowAdjust(self.remote_id, count)

    async def send(self, data: bytes) -> None:
        """Send data as the peer's window allows; raises ConnectionBroken.

        Prevents truncated messages: queued data is sent even if the caller is cancelled.
        """
        if self._close_received or self._close_sent or self._eof_sent or self.connection_lost:
            raise ConnectionBroken("channel closed")
        self._unsent += data
        self._drained = anyio.Event() if self._drained.is_set() else self._drained
        self.multiplexer.schedule_write(self)
        await self.wait_drained()

    async def wait_drained(self) -> None:
        """Wait until all queued data has been passed to the writer; raises ConnectionBroken."""
        while self._unsent:
            if self._close_received or self._close_sent or self.connection_lost:
                raise ConnectionBroken("channel closed")
            await self._drained.wait()

    def send_request(self, name: str, extra: bytes = b"") -> None:
        """Send a channel request that wants no reply; raises ConnectionBroken."""
        if self.connection_lost:
            raise ConnectionBroken("connection closed")
        if self.remote_id is not None and not (self._close_sent or self._eof_sent):
            self.multiplexer.enqueue(codec.ChannelRequest(self.remote_id, name, False, extra))

    def send_eof(self) -> None:
        """Send EOF."""
        if self.remote_id is not None and not (self._eof_sent or self._close_sent or self.connection_lost):
            self._eof_sent = True
            self.multiplexer.enqueue(codec.Eof(self.remote_id))

    def close(self) -> None:
        """Send CLOSE and drop queued data."""
        self._unsent.clear()
        self._drained.set()
        if self.is_open and self.remote_id is not None and not (self._close_sent or self.connection_lost):
            self._close_sent = True
            self.multiplexer.enqueue(codec.Close(self.remote_id))
        self._changed.set()
        self._remove_if_closed()
        self.multiplexer.stop_if_retired()

    async def wait_closed(self) -> None:
        """Wait for the peer's CLOSE, discarding its data."""
        while not (self._close_received or self.connection_lost):
            self._clear_unread()
            self._changed = anyio.Event()
            await self._changed.wait()

    def _clear_unread(self) -> None:
        self._unread.clear()
        self._unread_requests = 0

    def _remove_if_closed(self) -> None:
        if self._close_received and self._close_sent:
            self.multiplexer.remove_channel(self)

    @property
    def close_sent(self) -> bool:
        """Whether this end has sent CLOSE."""
        return self._close_sent

    async def has_left(self) -> bool:
        """Whether the peer has closed the channel or the connection, even if its FIN or RST is unread."""
        return (
            await self.multiplexer.peer_closed()
            or self._close_received
            or self._eof_received
            or self.connection_lost
        )

    def handle_cancel(self) -> None:
        """Treat an unanswered open that the peer has cancelled as a closed channel."""
        self._close_received = True
        self._changed.set()

    # Called for messages of the peer

    def handle_confirmation(self, message: codec.OpenConfirmation) -> None:
        """Open the channel, or close it if its open was cancelled."""
        self.is_open = True
        self.remote_id = message.sender
        self.confirmation = message.extra
        self._send_window = message.window
        self._max_data_bytes = min(message.packet_most, codec.MAX_PAYLOAD_BYTES)
        self.answered.set()
        if self.cancelled:
            self.close()

    def handle_open(self, message: codec.ChannelOpen) -> None:
        """Record the peer's number, window and packet size."""
        self.remote_id = message.sender
        self._send_window = message.window
        self._max_data_bytes = min(message.packet_most, codec.MAX_PAYLOAD_BYTES)

    @property
    def is_full(self) -> bool:
        """Whether no further request can be buffered."""
        return self._unread_requests >= MAX_UNREAD_REQUESTS

    def handle_message(self, message: codec.ChannelMessage) -> None:
        """Apply a message for an answered channel; raises ChannelViolation."""
        match message:
            case codec.Eof():
                self._eof_received = True
            case codec.Close():
                self._handle_close()
            case _ if self._close_sent:
                pass  # the peer sent it before it read the CLOSE, and nobody receives it
            case codec.Data(data=data):
                self._handle_data(data)
            case codec.ExtendedData(data=data):
                self._take_from_window(data)
                self._restore_window(len(data))  # no data type code is supported
            case codec.WindowAdjust(count=count):
                self._send_window += count
                if self._send_window > MAX_WINDOW_BYTES:
                    raise ChannelViolation("window past 2^32 - 1")
                self.multiplexer.schedule_write(self)
            case codec.ChannelRequest():
                self._handle_request(message)
        self._changed.set()

    def _handle_data(self, data: bytes) -> None:
        self._take_from_window(data)
        if not data:
            return
        if self._unread and isinstance(self._unread[-1], bytearray):
            self._unread[-1] += data
        else:
            self._unread.append(bytearray(data))

    def _take_from_window(self, data: bytes) -> None:
        if len(data) > self._receive_window:
            raise ChannelViolation("window overrun")
        if self._eof_received:
            raise ChannelViolation("data after the end")
        self._receive_window -= len(data)

    def _handle_request(self, message: codec.ChannelRequest) -> None:
        if message.name in (codec.MOVE, codec.BYE, codec.NOTE):
            if self.is_full:
                raise ChannelViolation("too many requests unread")
            if message.name == codec.NOTE and len(message.extra) < NOTE_BYTES:
                raise ChannelViolation("a note without its number")
            self._unread.append(replace(message, extra=message.extra[:NOTE_BYTES]))
            self._unread_requests += 1
        elif message.want_reply and self.remote_id is not None:
            self.multiplexer.enqueue(codec.ChannelFailure(self.remote_id))

    def _handle_close(self) -> None:
        self._close_received = True
        self._unsent.clear()
        self._drained.set()
        if not self._close_sent and self.remote_id is not None:
            self._close_sent = True
            self.multiplexer.enqueue(codec.Close(self.remote_id))
        self._remove_if_closed()

    def next_data(self) -> codec.Data | None:
        """Remove and return as much queued data as the peer's window allows, or None."""
        count = min(len(self._unsent), self._send_window, self._max_data_bytes)
        if count <= 0 or self.remote_id is None or self._close_sent:
            return None
        data = bytes(self._unsent[:count])
        del self._unsent[:count]
        self._send_window -= count
        if not self._unsent:
            self._drained.set()
        return codec.Data(self.remote_id, data)

    def handle_connection_loss(self) -> None:
        """Wake all waiters after the connection has closed."""
        self.answered.set()
        self._drained.set()
        self._changed.set()


class Multiplexer:
    """Runs one connection and its channels.

    `is_client` is true at the end that connected. `on_open` answers the peer's opens; without it they are
    refused.
    """

    def __init__(
        self,
        stream: TcpStream,
        clock: Clock,
        *,
        is_client: bool,
        on_open: Callable[[Channel, OpenMessage], None] | None = None,
        tracker: ConnectionTracker | None = None,
    ) -> None:
        self._stream = stream
        self._tracker = tracker  # evicts idle connections of clients; None for servers
        self._share = None if tracker is None else WorkShare(tracker.turns)
        self._clock = clock
        self._is_client = is_client
        self._on_open = on_open
        self._channels: dict[int, Channel] = {}
        self._peer_channels: dict[int, Channel] = {}  # those that the peer opened, by its numbers
        self._next_id = 0
        self._queued_messages: deque[codec.Message] = deque()
        # Opens passed to the stream: each with the stream's `accepted_bytes` at its end.
        self._opens_in_write: deque[tuple[int, Channel]] = deque()
        self._writable_channels: deque[Channel] = deque()
        self._work_available = anyio.Event()
        self._queue_emptied = anyio.Event()
        self.ready = anyio.Event()  # set when the peer's version has arrived or the connection closed
        self.closed = False
        self.last_read_at = clock.now()
        self._read_scope = anyio.CancelScope()
        self._retired = False

    async def run(self) -> None:
        """Serve the connection until it is closed; errors of the peer are not raised."""
        error: codec.MalformedMessage | None = None
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write)
                with self._read_scope, self._session():
                    error = await self._read()
                tasks.cancel_scope.cancel()
        finally:
            self.closed = True
            self.ready.set()
            channels = list(self._channels.values())
            with anyio.CancelScope(shield=True):
                await self._send_final_messages(error, channels)
            self._queue_emptied.set()
            for channel in channels:
                channel.handle_connection_loss()
            self._channels.clear()
            await self._stream.end()

    async def _send_final_messages(
        self, error: codec.MalformedMessage | None, channels: list[Channel]
    ) -> None:
        """Send what is queued, refuse unanswered opens, close channels, and send DISCONNECT with the reason.

        Opens that are still queued are withdrawn, as their requests may be sent to another server.
        """
        self._queued_messages = deque(
            message for message in self._queued_messages if not isinstance(message, codec.ChannelOpen)
        )
        final_messages: list[codec.Message] = []
        for channel in channels:
            if channel.remote_id is None:
                continue
            if self._peer_channels.get(channel.remote_id) is channel and not channel.answered.is_set():
                final_messages.append(codec.OpenFailure(channel.remote_id, codec.FAILED, "connection ends"))
            elif channel.is_open and not channel.close_sent:
                final_messages.append(codec.Close(channel.remote_id))
        reason = codec.BY_APPLICATION if error is None else error.reason
        if error is not None:
            log.warning("malformed", extra={"error": str(error), "reason": reason})
        final_messages.append(codec.Disconnect(reason, str(error or "end of service")))
        queued = b"".join(iter(self._next_batch, b""))
        with contextlib.suppress(ConnectionBroken):
            await self._stream.finish(queued + b"".join(map(codec.encode, final_messages)))
        self._report_sent_opens()

    # Reading

    async def peer_closed(self) -> bool:
        """Whether the connection is closed or the peer's FIN or RST has arrived."""
        return self.closed or await self._stream.peer_closed()

    async def _read(self) -> codec.MalformedMessage | None:
        """Handle messages until the connection ends; return the error to report in DISCONNECT, if any."""
        packets = codec.PacketReader(banner=self._is_client)
        try:
            with self._idle_timeout(VERSION_TIMEOUT_MS) as on_activity:
                while packets.version is None:
                    self._feed_version(packets, await self._stream.read())
                    on_activity()
            if packets.version is None:
                self._feed_version(packets, self._stream.read_available())
            if packets.version is None:
                if self._shutting_down:
                    return None
                return codec.MalformedMessage("no version line in time", codec.VERSION_NOT_SUPPORTED)
            self.ready.set()
            partial_since: float | None = None  # when the first byte of a partial message arrived
            timed_out = False  # its timeout is over, and input that had arrived by then was read
            while True:
                while (payload := packets.next()) is not None:
                    message = codec.decode(payload)
                    if isinstance(message, codec.Disconnect):
                        log.info(
                            "disconnected", extra={"reason": message.reason, "why": message.description[:100]}
                        )
                        return None
                    await self._wait_for_turn(message, packets)
                    if isinstance(message, codec.ChannelRequest):
                        await self._wait_for_receiver(message.recipient)
                    self._handle_message(message)
                    partial_since, timed_out = None, False
                if partial_since is None and packets.pending:
                    partial_since = self._clock.now()
                if len(self._queued_messages) > MAX_QUEUED_MESSAGES:
                    # Limits memory for a peer that sends requests and reads no answers.
                    return codec.MalformedMessage("too many answers unread")
                chunk = b""
                with self._read_timeout(packets, partial_since):
                    chunk = await self._stream.read()
                if not chunk and not timed_out:
                    # A CHANNEL_OPEN may have arrived as the wait was cancelled.
                    chunk, timed_out = self._stream.read_available(), partial_since is not None
                if not chunk:
                    if self._shutting_down:
                        return None
                    cause = "idle" if partial_since is None else "no whole message in time"
                    return codec.MalformedMessage(cause, codec.BY_APPLICATION)
                packets.feed(chunk)
                self.last_read_at = self._clock.now()
        except codec.MalformedMessage as exc:
            return exc
        except (PeerClosed, ConnectionBroken):
            return None

    async def _wait_for_turn(self, message: codec.Message, packets: codec.PacketReader) -> None:
        """Wait until a client's message may be handled.

        Prevents opens that have been read from being left without an answer when the connection is ended
        meanwhile: they are handled at once then, and refused by `_send_final_messages`.
        """
        if self._share is None:
            return
        try:
            await self._share.spend(OPEN_COST if isinstance(message, codec.ChannelOpen) else MESSAGE_COST)
        except anyio.get_cancelled_exc_class():
            with contextlib.suppress(codec.MalformedMessage):
                self._handle_message(message)
                while (payload := packets.next()) is not None:
                    self._handle_message(codec.decode(payload))
            raise

    async def _wait_for_receiver(self, local_id: int) -> None:
        """Give the receiver of a full channel some turns to make room.

        Prevents requests that arrive in one chunk from closing a channel whose receiver is not held up.
        """
        channel = self._channels.get(local_id)
        for _ in range(RECEIVER_TURNS):
            if channel is None or not channel.is_full:
                return
            await checkpoint()

    def _session(self) -> contextlib.AbstractContextManager[None]:
        """Register the connection to be closed at shutdown, when its requests have ended."""
        return contextlib.nullcontext() if self._tracker is None else self._tracker.track_session(self.retire)

    @property
    def _shutting_down(self) -> bool:
        return self._tracker is not None and self._tracker.shutting_down

    def _feed_version(self, packets: codec.PacketReader, chunk: bytes) -> None:
        """Feed input up to the version line, and handle a message that follows it."""
        packets.feed(chunk)
        payload = packets.next()
        if payload is not None:
            self.ready.set()
            self._handle_message(codec.decode(payload))

    @property
    def _is_idle(self) -> bool:
        return self._tracker is not None and not self._channels

    def _read_timeout(
        self, packets: codec.PacketReader, partial_since: float | None
    ) -> contextlib.AbstractContextManager[object]:
        """Return the time limit for the next read.

        Prevents peers that send part of a CHANNEL_OPEN from holding a descriptor for IDLE_TIMEOUT_MS.
        """
        if (
            self._tracker is not None
            and partial_since is not None
            and (self._is_idle or packets.has_partial_open)
        ):
            remaining_ms = partial_since + VERSION_TIMEOUT_MS - self._clock.now()
            return (
                self._tracker.evictable_wait(remaining_ms)
                if self._is_idle
                else self._clock.limit(remaining_ms)
            )
        return self._idle_timeout(IDLE_TIMEOUT_MS) if self._is_idle else contextlib.nullcontext()

    @contextlib.contextmanager
    def _idle_timeout(self, timeout_ms: float) -> Iterator[Callable[[], object]]:
        """Limit the block like `ConnectionTracker.evictable_wait`, or by time only if there is no tracker."""
        with contextlib.ExitStack() as stack:
            if self._tracker is not None:
                yield stack.enter_context(self._tracker.evictable_wait(timeout_ms))
            else:
                stack.enter_context(self._clock.limit(timeout_ms))
                yield int  # activity is not tracked

    def _handle_message(self, message: codec.Message) -> None:
        """Apply a message to its channel or the connection; raises MalformedMessage."""
        match message:
            case codec.Data() | codec.WindowAdjust():  # the most frequent
                self._pass_to_channel(message)
            case codec.ChannelOpen():
                self._handle_open(message)
            case codec.OpenConfirmation() | codec.OpenFailure():
                channel = self._channels.get(message.recipient)
                if channel is None or channel.answered.is_set() or channel.remote_id is not None:
                    raise codec.MalformedMessage(f"answer to no open: channel {message.recipient}")
                if isinstance(message, codec.OpenConfirmation):
                    channel.handle_confirmation(message)
                else:
                    self.remove_channel(channel)
                    channel.refusal = OpenRefused(message.reason, message.description)
                    channel.answered.set()
            case codec.GlobalRequest():
                if message.name == codec.CANCEL:
                    number = codec.PayloadReader(message.extra).uint32()
                    channel = self._peer_channels.get(number)
                    if channel is not None and not channel.answered.is_set():
                        channel.handle_cancel()
                elif message.want_reply:
                    self.enqueue(codec.RequestFailure())
            case codec.Unknown():
                # Sequence numbers are not tracked, so 0 is sent.
                self.enqueue(codec.Unimplemented(0))
            case (
                codec.Ignore()
                | codec.Debug()
                | codec.Unimplemented()
                | codec.RequestSuccess()
                | codec.RequestFailure()
                | codec.Disconnect()
            ):
                pass
            case _:
                self._pass_to_channel(message)

    def _pass_to_channel(self, message: codec.ChannelMessage) -> None:
        """Apply a message to its channel, which is closed if it breaks its rules; raises MalformedMessage."""
        channel = self._channels.get(message.recipient)
        if channel is None or not channel.answered.is_set():
            raise codec.MalformedMessage(f"unknown channel {message.recipient}")
        try:
            channel.handle_message(message)
        except ChannelViolation as exc:
            log.warning("malformed channel", extra={"channel": channel.local_id, "error": str(exc)})
            channel.close()

    def _handle_open(self, message: codec.ChannelOpen) -> None:
        """Refuse an open, or pass its channel to `on_open`; raises MalformedMessage."""
        sender = message.sender
        if sender in self._peer_channels:
            raise codec.MalformedMessage(f"channel {sender} is open already")
        if self._on_open is None or message.kind != codec.REQUEST_CHANNEL:
            self.enqueue(codec.OpenFailure(sender, codec.UNKNOWN_TYPE, f"unknown type {message.kind[:60]}"))
        elif len(self._channels) >= MAX_CHANNELS:
            self.enqueue(
                codec.OpenFailure(sender, codec.RESOURCE_SHORTAGE, "too many channels; retry-after=1000")
            )
        else:
            channel = self._add_channel()
            channel.handle_open(message)
            self._peer_channels[sender] = channel
            self._on_open(channel, message)

    def _add_channel(self) -> Channel:
        """Create a channel with an unused number."""
        while self._next_id in self._channels:
            self._next_id = (self._next_id + 1) & 0xFFFFFFFF
        channel = self._channels[self._next_id] = Channel(self, self._next_id)
        self._next_id = (self._next_id + 1) & 0xFFFFFFFF
        return channel

    def remove_channel(self, channel: Channel) -> None:
        """Free the channel's numbers."""
        self._channels.pop(channel.local_id, None)
        if channel.remote_id is not None and self._peer_channels.get(channel.remote_id) is channel:
            del self._peer_channels[channel.remote_id]
        self.stop_if_retired()

    def retire(self) -> None:
        """Close the connection once this end has closed all channels; its own callers open no more."""
        self._retired = True
        self.stop_if_retired()

    def stop_if_retired(self) -> None:
        """Close the connection if it is retired and no channel has anything left to send."""
        if self._retired and all(
            channel.cancelled or channel.close_sent for channel in self._channels.values()
        ):
            self._read_scope.cancel()

    # Opening channels and answering opens

    def confirm(self, channel: Channel, extra: bytes) -> None:
        """Confirm the peer's open; `extra` is the data of the confirmation."""
        assert channel.remote_id is not None and not channel.answered.is_set()
        channel.is_open = True
        channel.answered.set()
        self.enqueue(
            codec.OpenConfirmation(
                channel.remote_id, channel.local_id, WINDOW_BYTES, codec.MAX_PAYLOAD_BYTES, extra
            )
        )

    def refuse(self, channel: Channel, reason: int, description: str) -> None:
        """Answer the peer's open with CHANNEL_OPEN_FAILURE."""
        assert channel.remote_id is not None and not channel.answered.is_set()
        channel.answered.set()
        self.enqueue(codec.OpenFailure(channel.remote_id, reason, description))
        self.remove_channel(channel)

    async def open_channel(self, extra: bytes, sent: Callable[[], None]) -> Channel:
        """Send a CHANNEL_OPEN and call `sent` when it is written; raises ConnectionBroken, OpenRefused."""
        if self.closed:
            raise ConnectionBroken("connection closed")
        if len(self._channels) >= MAX_CHANNELS:
            raise OpenRefused(codec.RESOURCE_SHORTAGE, "too many channels")
        channel = self._add_channel()
        channel.on_sent = sent
        channel.open_message = codec.ChannelOpen(
            codec.REQUEST_CHANNEL, channel.local_id, WINDOW_BYTES, codec.MAX_PAYLOAD_BYTES, extra
        )
        self.enqueue(channel.open_message)
        return channel

    def is_unwritten(self, channel: Channel) -> bool:
        """Whether no byte of the channel's open has been passed to the stream."""
        return not channel.open_sent and all(channel is not other for _, other in self._opens_in_write)

    def cancel_open(self, channel: Channel) -> None:
        """Cancel an open: withdraw it if unwritten, notify the peer if unanswered, else close the channel.

        Prevents an open that is queued behind a peer that does not read from starting a second attempt.
        """
        if channel.answered.is_set():
            if channel.remote_id is not None:
                channel.close()
            return
        if self.is_unwritten(channel):
            assert channel.open_message is not None
            with contextlib.suppress(ValueError):  # withdrawn already, as the connection ends
                self._queued_messages.remove(channel.open_message)
            self.remove_channel(channel)
            return
        channel.cancelled = True
        self.enqueue(codec.GlobalRequest(codec.CANCEL, False, codec.uint32(channel.local_id)))
        self.stop_if_retired()

    # Writing

    def enqueue(self, message: codec.Message) -> None:
        """Queue a message for the writer."""
        self._queued_messages.append(message)
        self._work_available.set()

    async def wait_for_room(self) -> None:
        """Wait while the queue is too long for further requests that are passed on.

        Limits memory for a peer that does not read: no window limits the requests of the other side.
        """
        while len(self._queued_messages) >= MAX_FORWARDED_MESSAGES and not self.closed:
            await self._queue_emptied.wait()

    def schedule_write(self, channel: Channel) -> None:
        """Let the writer send the channel's data and window adjustment."""
        if channel not in self._writable_channels:
            self._writable_channels.append(channel)
        self._work_available.set()

    async def _write(self) -> None:
        """Write queued messages first, then a window adjustment and a packet of data for each channel."""
        try:
            await self._stream.write(codec.VERSION.encode() + b"\r\n")
            while True:
                self._work_available = anyio.Event()
                while self._queued_messages or self._writable_channels:
                    if batch := self._next_batch():
                        await self._stream.write(batch)
                        self._report_sent_opens()
                await self._work_available.wait()
        except ConnectionBroken:
            pass  # the reader fails as well, and ends the connection

    def _next_batch(self) -> bytes:
        """Remove and encode the queued messages, window adjustments, and one packet of data for each channel.

        The caller must pass the result to the stream at once: it is in no queue any more.
        """
        batch = bytearray()
        while self._queued_messages:
            message = self._queued_messages.popleft()
            if not isinstance(message, codec.ChannelOpen):
                batch += codec.encode(message)
            elif (
                channel := self._channels.get(message.sender)
            ) is not None:  # else refused before it was sent
                batch += codec.encode(message)
                self._opens_in_write.append((self._stream.accepted_bytes + len(batch), channel))
        self._queue_emptied.set()
        self._queue_emptied = anyio.Event()
        for _ in range(len(self._writable_channels)):
            channel = self._writable_channels.popleft()
            adjust = channel.next_window_adjust()
            if adjust is not None:
                batch += codec.encode(adjust)
            data = channel.next_data()
            if data is not None:
                batch += codec.encode(data)
                self._writable_channels.append(channel)
        return bytes(batch)

    def _report_sent_opens(self) -> None:
        """Mark the channels whose opens have been sent completely, and tell their callers."""
        while self._opens_in_write and self._opens_in_write[0][0] <= self._stream.sent_bytes:
            _, channel = self._opens_in_write.popleft()
            channel.open_sent = True
            if channel.on_sent is not None:
                channel.on_sent()
