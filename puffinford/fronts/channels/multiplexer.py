"""One connection with many channels: flow control, the ends of channels, and what ends them all.

The reader never waits for a channel and the writer sends from each channel in turn, so that one slow
channel does not hold up its neighbours. RFC 4254, section 5, says what the messages mean.
"""

from __future__ import annotations

import contextlib
import logging
from collections import deque
from collections.abc import Callable, Iterator

import anyio
import anyio.abc

from puffinford.core.clock import Clock
from puffinford.core.values import ConnectionBroken, PeerClosed
from puffinford.fronts.accepting import ConnectionTracker
from puffinford.fronts.channels import codec
from puffinford.fronts.sockets import TcpStream

log = logging.getLogger(__name__)

WINDOW = 16_384  # bytes that a peer may send on a channel before they are taken
WINDOW_MOST = 0xFFFFFFFF
CHANNELS_MOST = 64  # open channels of one connection; each may hold a window of bytes
ITEMS_MOST = 256  # pieces and requests that a channel may hold untaken
CONTROL_MOST = 1_024  # answers that a peer may leave unread
HELLO = 2_700.0  # a peer that has sent no version line by then is ended; sound ones may write it slowly
IDLE = 10_000.0  # and one that has opened no channel by then, or has had none open for so long

Open = codec.ChannelOpen


class Refused(Exception):
    """The peer has answered an open with a failure."""

    def __init__(self, reason: int, description: str) -> None:
        super().__init__(description)
        self.reason = reason
        self.description = description


class Channel:
    """One channel, as either end sees it."""

    def __init__(self, multiplexer: Multiplexer, local: int) -> None:
        self.multiplexer = multiplexer
        self.local = local
        self.remote: int | None = None
        self.confirmation = b""
        self.refused: Refused | None = None
        self.open = False  # its open was confirmed
        self.settled = anyio.Event()  # the open is answered, or the connection is gone
        self.cancelled = False
        self.sent_open = False  # its last byte was written ...
        self.on_sent: Callable[[], None] | None = None  # ... which is told here
        self.request_open: codec.ChannelOpen | None = None  # what asks for it, where it is of our making
        self._window_in = WINDOW
        self._window_out = 0
        self._packet_most = 0
        self._in: deque[bytes | codec.ChannelRequest] = deque()
        self._came = anyio.Event()
        self._out = bytearray()
        self._drained = anyio.Event()
        self._drained.set()
        self._eof_in = self._eof_out = False
        self._closed_in = self._closed_out = False
        self.gone = False  # the whole connection is

    # What a leg does

    async def receive(self) -> bytes | codec.ChannelRequest:
        """The next bytes or request; Ended after EOF, Broken after a close without one."""
        while not self._in:
            if self._eof_in:
                raise PeerClosed
            if self._closed_in or self._closed_out or self.gone:
                raise ConnectionBroken("channel closed")
            self._came = anyio.Event()
            await self._came.wait()
        item = self._in.popleft()
        if isinstance(item, bytes):
            self._grant(len(item))
        return item

    def _grant(self, count: int) -> None:
        """Give back the window that taken bytes held."""
        self._window_in += count
        if not (self._closed_in or self._closed_out or self._eof_in) and self.remote is not None:
            self.multiplexer.post(codec.WindowAdjust(self.remote, count))

    async def send(self, data: bytes) -> None:
        """Send bytes whole, in their order, as the peer's window allows.

        Guards against half a message: once queued its rest goes out even if the caller is cancelled,
        and what is posted with `post_last` comes after it.
        """
        if self._closed_in or self._closed_out or self._eof_out or self.gone:
            raise ConnectionBroken("channel closed")
        self._out += data
        self._drained = anyio.Event() if self._drained.is_set() else self._drained
        self.multiplexer.wake(self)
        await self.drained()

    async def drained(self) -> None:
        """Wait until all that was queued is on its way."""
        while self._out:
            if self._closed_in or self._closed_out or self.gone:
                raise ConnectionBroken("channel closed")
            await self._drained.wait()

    def request(self, name: str, extra: bytes = b"") -> None:
        if self.remote is not None and not (self._closed_out or self._eof_out or self.gone):
            self.multiplexer.post(codec.ChannelRequest(self.remote, name, False, extra))

    def eof(self) -> None:
        if self.remote is not None and not (self._eof_out or self._closed_out or self.gone):
            self._eof_out = True
            self.multiplexer.post(codec.Eof(self.remote))

    def close(self) -> None:
        """Close our side; what was queued and not sent is dropped."""
        self._out.clear()
        self._drained.set()
        if self.open and self.remote is not None and not (self._closed_out or self.gone):
            self._closed_out = True
            self.multiplexer.post(codec.Close(self.remote))
        self._came.set()
        self._forget()

    async def closed(self) -> None:
        """Wait until the peer has closed its side too."""
        while not (self._closed_in or self.gone):
            self._in.clear()
            self._came = anyio.Event()
            await self._came.wait()

    def _forget(self) -> None:
        if self._closed_in and self._closed_out:
            self.multiplexer.forget(self)

    @property
    def closing(self) -> bool:
        return self._closed_out

    async def has_left(self) -> bool:
        """Whether the peer has given the channel up, or is gone, read or not."""
        return await self.multiplexer.ended() or self._closed_in or self._eof_in or self.gone

    def withdraw(self) -> None:
        """The peer has given up an open that is not answered yet: for its request the channel has closed."""
        self._closed_in = True
        self._came.set()

    # What the peer's messages do

    def confirmed(self, message: codec.OpenConfirmation) -> None:
        self.open = True
        self.remote = message.sender
        self.confirmation = message.extra
        self._window_out = message.window
        self._packet_most = min(message.packet_most, codec.PAYLOAD_MOST)
        self.settled.set()
        if self.cancelled:
            self.close()

    def opened(self, message: codec.ChannelOpen) -> None:
        self.remote = message.sender
        self._window_out = message.window
        self._packet_most = min(message.packet_most, codec.PAYLOAD_MOST)

    def took(self, message: codec.Message) -> None:
        if len(self._in) >= ITEMS_MOST:
            # Guards the memory limit against pieces of a byte, and requests, which no window counts.
            raise codec.Malformed(f"too many pieces untaken on channel {self.local}")
        match message:
            case codec.Data(data=data) | codec.ExtendedData(data=data):
                if len(data) > self._window_in:
                    raise codec.Malformed(f"window overrun on channel {self.local}")
                if self._eof_in or self._closed_in:
                    raise codec.Malformed(f"data after the end of channel {self.local}")
                self._window_in -= len(data)
                if isinstance(message, codec.ExtendedData):
                    self._grant(len(data))  # no kind of it is known here
                elif data:
                    self._in.append(data)
            case codec.WindowAdjust(count=count):
                self._window_out += count
                if self._window_out > WINDOW_MOST:
                    raise codec.Malformed(f"window of channel {self.local} past 2^32 - 1")
                self.multiplexer.wake(self)
            case codec.ChannelRequest():
                if message.name in (codec.MOVE, codec.BYE, codec.NOTE):
                    self._in.append(message)
                elif message.want_reply and self.remote is not None:
                    self.multiplexer.post(codec.ChannelFailure(self.remote))
            case codec.Eof():
                self._eof_in = True
            case codec.Close():
                self._closed_in = True
                self._out.clear()
                self._drained.set()
                if not self._closed_out and self.remote is not None:
                    self._closed_out = True
                    self.multiplexer.post(codec.Close(self.remote))
                self._forget()
        self._came.set()

    def next_data(self) -> codec.Data | None:
        """As much of what is queued as the peer takes now."""
        count = min(len(self._out), self._window_out, self._packet_most)
        if count <= 0 or self.remote is None or self._closed_out:
            return None
        data = bytes(self._out[:count])
        del self._out[:count]
        self._window_out -= count
        if not self._out:
            self._drained.set()
        return codec.Data(self.remote, data)

    def lost(self) -> None:
        self.gone = True
        self.settled.set()
        self._drained.set()
        self._came.set()


class Multiplexer:
    """A connection. `on_open` answers what the peer opens; without it, none may."""

    def __init__(
        self,
        stream: TcpStream,
        clock: Clock,
        *,
        client: bool,
        on_open: Callable[[Channel, Open], None] | None = None,
        tracker: ConnectionTracker | None = None,
    ) -> None:
        self._stream = stream
        self._tracker = tracker  # where a connection without a channel waits; a server's needs none
        self._clock = clock
        self._client = client
        self._on_open = on_open
        self._channels: dict[int, Channel] = {}
        self._theirs: dict[int, Channel] = {}  # by the peer's number, those that the peer opened
        self._next = 0
        self._control: deque[codec.Message | Channel] = deque()
        self._ready: deque[Channel] = deque()
        self._work = anyio.Event()
        self.up = anyio.Event()  # the peer's version has come, or the connection is over
        self.over = False
        self.heard_at = clock.now()  # when the last bytes came
        self._reading = anyio.CancelScope()
        self._retired = False

    async def run(self) -> None:
        """Serve the connection to its end; never raises for what the peer does."""
        fault: codec.Malformed | None = None
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write)
                with self._reading, self._session():
                    fault = await self._read()
                tasks.cancel_scope.cancel()
        finally:
            self.over = True
            self.up.set()
            pending = list(self._channels.values())
            with anyio.CancelScope(shield=True):
                await self._goodbye(fault, pending)
            for channel in pending:
                channel.lost()
            self._channels.clear()
            await self._stream.end()

    async def _goodbye(self, fault: codec.Malformed | None, pending: list[Channel]) -> None:
        """Answer each open that still waits, close what stands, say why, and go."""
        last = [item for item in self._control if not isinstance(item, Channel)]
        for channel in pending:
            if channel.remote is None:
                continue
            if self._theirs.get(channel.remote) is channel and not channel.settled.is_set():
                last.append(codec.OpenFailure(channel.remote, codec.FAILED, "connection ends"))
            elif channel.open and not channel.closing:
                last.append(codec.Close(channel.remote))
        reason = codec.BY_APPLICATION if fault is None else fault.reason
        if fault is not None:
            log.warning("malformed", extra={"error": str(fault), "reason": reason})
        last.append(codec.Disconnect(reason, str(fault or "end of service")))
        with contextlib.suppress(ConnectionBroken):
            await self._stream.finish(b"".join(map(codec.encode, last)))

    # Reading

    async def ended(self) -> bool:
        """Whether the peer's end has arrived; what came before it has been taken in."""
        return self.over or await self._stream.ended()

    async def _read(self) -> codec.Malformed | None:
        packets = codec.PacketReader(banner=self._client)
        try:
            with self._waiting(HELLO) as heard:
                while packets.version is None:
                    self._hello(packets, await self._stream.read())
                    heard()
            if packets.version is None:
                self._hello(packets, self._stream.read_ready())
            if packets.version is None:
                if self._dismissed:
                    return None
                return codec.Malformed("no version line in time", codec.VERSION_NOT_SUPPORTED)
            self.up.set()
            half_since: float | None = None  # when the message that is not whole began
            overdue = False  # its time is up, and what had arrived by then was read
            while True:
                while (payload := packets.next()) is not None:
                    message = codec.decode(payload)
                    if isinstance(message, codec.Disconnect):
                        log.info(
                            "disconnected", extra={"reason": message.reason, "why": message.description[:100]}
                        )
                        return None
                    self._take(message)
                    half_since, overdue = None, False
                if half_since is None and packets.pending:
                    half_since = self._clock.now()
                if len(self._control) > CONTROL_MOST:
                    # Guards the memory against a peer that asks on and reads nothing.
                    return codec.Malformed("too many answers unread")
                chunk = b""
                with self._patience(packets, half_since):
                    chunk = await self._stream.read()
                if not chunk and not overdue:
                    # Guards an open that came in the moment in which the time was up, or its place needed.
                    chunk, overdue = self._stream.read_ready(), half_since is not None
                if not chunk:
                    if self._dismissed:
                        return None
                    why = "idle" if half_since is None else "no whole message in time"
                    return codec.Malformed(why, codec.BY_APPLICATION)
                packets.feed(chunk)
                self.heard_at = self._clock.now()
        except codec.Malformed as exc:
            return exc
        except (PeerClosed, ConnectionBroken):
            return None

    def _session(self) -> contextlib.AbstractContextManager[None]:
        """Where the end of the process ends this connection, whatever channels its peer leaves open."""
        return contextlib.nullcontext() if self._tracker is None else self._tracker.session(self._reading)

    @property
    def _dismissed(self) -> bool:
        return self._tracker is not None and self._tracker.dismissed

    def _hello(self, packets: codec.PacketReader, chunk: bytes) -> None:
        """Take in what came before or with the version line."""
        packets.feed(chunk)
        payload = packets.next()
        if payload is not None:
            self.up.set()
            self._take(codec.decode(payload))

    @property
    def _idle(self) -> bool:
        return self._tracker is not None and not self._channels

    def _patience(
        self, packets: codec.PacketReader, half_since: float | None
    ) -> contextlib.AbstractContextManager[object]:
        """How long the peer's next bytes are waited for.

        Guards the descriptors against peers that stop in the middle of a request: its half is given as long
        as a version line, whatever the connection may rest otherwise.
        """
        if self._tracker is not None and half_since is not None and (self._idle or packets.opening):
            left = half_since + HELLO - self._clock.now()
            return self._tracker.evictable_wait(left) if self._idle else self._clock.limit(left)
        return self._waiting(IDLE) if self._idle else contextlib.nullcontext()

    @contextlib.contextmanager
    def _waiting(self, ms: float) -> Iterator[Callable[[], object]]:
        with contextlib.ExitStack() as stack:
            if self._tracker is not None:
                yield stack.enter_context(self._tracker.evictable_wait(ms))
            else:
                stack.enter_context(self._clock.limit(ms))
                yield int  # nobody asks

    def _take(self, message: codec.Message) -> None:
        match message:
            case codec.ChannelOpen():
                self._take_open(message)
            case codec.OpenConfirmation() | codec.OpenFailure():
                channel = self._channels.get(message.recipient)
                if channel is None or channel.settled.is_set() or channel.remote is not None:
                    raise codec.Malformed(f"answer to no open: channel {message.recipient}")
                if isinstance(message, codec.OpenConfirmation):
                    channel.confirmed(message)
                else:
                    self.forget(channel)
                    channel.refused = Refused(message.reason, message.description)
                    channel.settled.set()
            case codec.GlobalRequest():
                if message.name == codec.CANCEL:
                    number = codec.PayloadReader(message.extra).uint32()
                    channel = self._theirs.get(number)
                    if channel is not None and not channel.settled.is_set():
                        channel.withdraw()
                elif message.want_reply:
                    self.post(codec.RequestFailure())
            case codec.Unknown():
                # The number of the packet is not kept: nothing here asks for it.
                self.post(codec.Unimplemented(0))
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
                channel = self._channels.get(message.recipient)
                if channel is None or not channel.settled.is_set():
                    raise codec.Malformed(f"unknown channel {message.recipient}")
                channel.took(message)

    def _take_open(self, message: codec.ChannelOpen) -> None:
        sender = message.sender
        if sender in self._theirs:
            raise codec.Malformed(f"channel {sender} is open already")
        if self._on_open is None or message.kind != codec.REQUEST_CHANNEL:
            self.post(codec.OpenFailure(sender, codec.UNKNOWN_TYPE, f"unknown type {message.kind[:60]}"))
        elif len(self._channels) >= CHANNELS_MOST:
            self.post(
                codec.OpenFailure(sender, codec.RESOURCE_SHORTAGE, "too many channels; retry-after=1000")
            )
        else:
            channel = self._new()
            channel.opened(message)
            self._theirs[sender] = channel
            self._on_open(channel, message)

    def _new(self) -> Channel:
        while self._next in self._channels:
            self._next = (self._next + 1) & 0xFFFFFFFF
        channel = self._channels[self._next] = Channel(self, self._next)
        self._next = (self._next + 1) & 0xFFFFFFFF
        return channel

    def forget(self, channel: Channel) -> None:
        self._channels.pop(channel.local, None)
        if channel.remote is not None and self._theirs.get(channel.remote) is channel:
            del self._theirs[channel.remote]
        self._end_if_retired()

    def retire(self) -> None:
        """Open no more channels here; the connection ends with those that stand."""
        self._retired = True
        self._end_if_retired()

    def _end_if_retired(self) -> None:
        if self._retired and all(one.cancelled or one.closing for one in self._channels.values()):
            self._reading.cancel()

    # Answering and opening

    def confirm(self, channel: Channel, extra: bytes) -> None:
        assert channel.remote is not None and not channel.settled.is_set()
        channel.open = True
        channel.settled.set()
        self.post(codec.OpenConfirmation(channel.remote, channel.local, WINDOW, codec.PAYLOAD_MOST, extra))

    def refuse(self, channel: Channel, reason: int, description: str) -> None:
        assert channel.remote is not None and not channel.settled.is_set()
        channel.settled.set()
        self.post(codec.OpenFailure(channel.remote, reason, description))
        self.forget(channel)

    async def open(self, extra: bytes, sent: Callable[[], None]) -> Channel:
        """Open a channel; it is settled once the peer has answered. `sent` hears that the open is out."""
        if self.over:
            raise ConnectionBroken("connection over")
        if len(self._channels) >= CHANNELS_MOST:
            raise Refused(codec.RESOURCE_SHORTAGE, "too many channels")
        channel = self._new()
        channel.on_sent = sent
        channel.request_open = codec.ChannelOpen(
            codec.REQUEST_CHANNEL, channel.local, WINDOW, codec.PAYLOAD_MOST, extra
        )
        self.post(channel.request_open)
        self._control.append(channel)  # marks it as sent once the writer has passed it
        return channel

    def waits(self, channel: Channel) -> bool:
        """Whether the open of a channel of ours is queued, and nothing of it was written."""
        return channel in self._control

    def cancel_open(self, channel: Channel) -> None:
        """Give up an open that has no answer yet: the peer is told, and a late channel is closed.

        Guards against an attempt that comes beside the next one: an open that still waits to be written, for
        the peer reads nothing, never is.
        """
        if channel.settled.is_set():
            if channel.remote is not None:
                channel.close()
            return
        if self.waits(channel):
            assert channel.request_open is not None
            self._control.remove(channel.request_open)
            self._control.remove(channel)
            self.forget(channel)
            return
        channel.cancelled = True
        self.post(codec.GlobalRequest(codec.CANCEL, False, codec.uint32(channel.local)))
        self._end_if_retired()

    # Writing

    def post(self, message: codec.Message) -> None:
        self._control.append(message)
        self._work.set()

    def wake(self, channel: Channel) -> None:
        if channel not in self._ready:
            self._ready.append(channel)
        self._work.set()

    async def _write(self) -> None:
        """What is posted goes first, then one packet of each channel that has data, in turn."""
        try:
            await self._stream.write(codec.VERSION.encode() + b"\r\n")
            while True:
                self._work = anyio.Event()
                while self._control or self._ready:
                    batch = bytearray()
                    sent = []
                    while self._control:
                        item = self._control.popleft()
                        if isinstance(item, Channel):
                            sent.append(item)
                        else:
                            batch += codec.encode(item)
                    for _ in range(len(self._ready)):
                        channel = self._ready.popleft()
                        data = channel.next_data()
                        if data is not None:
                            batch += codec.encode(data)
                            self._ready.append(channel)
                    if batch:
                        await self._stream.write(bytes(batch))
                    for channel in sent:
                        channel.sent_open = True
                        if channel.on_sent is not None:
                            channel.on_sent()
                await self._work.wait()
        except ConnectionBroken:
            pass  # the reader hears it too
