"""Replay protection: sliding windows of sequence numbers (RFC 6479)."""

import collections

# Number of sequence numbers that a window covers.
WINDOW_SIZE = 1_024
# Each balancer or agent process picks a random sender id (the nonce) at its
# start and uses it in all its frames. The limit exceeds the number of senders
# in the largest supported fleet.
MAX_SENDERS = 16_384

_WORD_BITS = 64
# One word more than the window needs, so that sliding clears whole words.
_WORD_COUNT = WINDOW_SIZE // _WORD_BITS + 1


class SequenceWindow:
    """Records which recent sequence numbers a sender has used."""

    __slots__ = ("_highest", "_words")

    def __init__(self) -> None:
        self._highest = 0
        self._words = [0] * _WORD_COUNT

    def accept(self, sequence: int) -> bool:
        """Record a sequence number; the first valid number is 1.

        Returns ``False`` if the number was used before or is older than the
        window.
        """
        if sequence < 1 or sequence + WINDOW_SIZE <= self._highest:
            return False
        word = sequence // _WORD_BITS
        if sequence > self._highest:
            newest_word = self._highest // _WORD_BITS
            for step in range(min(word - newest_word, _WORD_COUNT)):
                self._words[(word - step) % _WORD_COUNT] = 0
            self._highest = sequence
        bit = 1 << sequence % _WORD_BITS
        if self._words[word % _WORD_COUNT] & bit:
            return False
        self._words[word % _WORD_COUNT] |= bit
        return True


class ReplayFilter:
    """Windows by sender nonce; at most ``max_senders`` are kept.

    The window of the sender that was silent for the longest is evicted. The
    filter would then accept old frames of that sender again, so
    ``max_senders`` must exceed the number of senders.
    """

    def __init__(self, max_senders: int = MAX_SENDERS):
        self._max_senders = max_senders
        self._window_by_nonce: collections.OrderedDict[int, SequenceWindow] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._window_by_nonce)

    def accept(self, nonce: int, sequence: int) -> bool:
        """Record a sender's sequence number.

        Returns ``False`` for a replay or a frame older than the window.
        """
        window = self._window_by_nonce.get(nonce)
        if window is None:
            window = self._window_by_nonce[nonce] = SequenceWindow()
            if len(self._window_by_nonce) > self._max_senders:
                self._window_by_nonce.popitem(last=False)
        else:
            self._window_by_nonce.move_to_end(nonce)
        return window.accept(sequence)
