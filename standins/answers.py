"""The text that the model engine stand-in generates, for checkers as well.

Everything follows from the model, the prompt and the token's index, so that
a checker can compute each byte of an answer without asking an engine.
"""

import hashlib
import math

__all__ = [
    "SHORT_MARKER",
    "Answer",
    "count_prompt_tokens",
    "hash_blocks",
]

BYTES_PER_TOKEN = 4
SEED_DIGITS = 8
HASH_DIGITS = 16

# A prompt with this word gets an answer that ends before ``max_tokens``.
SHORT_MARKER = "SHORT"


class Answer:
    """The whole answer to one prompt.

    :param model: the model's name
    :param prompt: the prompt's text
    :param max_tokens: the most that the caller wants
    """

    __slots__ = ("seed", "length", "is_stopped_early")

    def __init__(self, model: str, prompt: str, max_tokens: int) -> None:
        digest = hashlib.sha256(f"{model}\0{prompt}".encode()).hexdigest()
        self.seed = digest[:SEED_DIGITS]
        self.is_stopped_early = SHORT_MARKER in prompt
        self.length = max_tokens
        if self.is_stopped_early:
            self.length = 1 + int(digest[-4:], 16) % max(max_tokens, 1)

    def get_token_text(self, index: int) -> str:
        """Return one token's text.

        :param index: the token's place, from 0
        :returns: text that no other prompt's answer holds at any place
        """
        return f" {self.seed}.{index}"

    def finish_reason(self) -> str:
        """Return why the answer ends: ``stop`` or ``length``."""
        return "stop" if self.is_stopped_early else "length"

    def text(self) -> str:
        """Return the whole answer's text."""
        return "".join(map(self.get_token_text, range(self.length)))


def count_prompt_tokens(prompt: str) -> int:
    """Return a prompt's length in tokens of four bytes.

    :param prompt: the prompt's text
    :returns: tokens, at least one
    """
    return max(math.ceil(len(prompt.encode()) / BYTES_PER_TOKEN), 1)


def hash_blocks(model: str, prompt: str, block_tokens: int) -> tuple[str, ...]:
    """Return the hashes of a prompt's whole blocks.

    :param model: the model's name
    :param prompt: the prompt's text
    :param block_tokens: tokens in a block
    :returns: 16 hexadecimal digits for each block, over all that precedes
    """
    data = prompt.encode()
    size = block_tokens * BYTES_PER_TOKEN
    running = hashlib.sha256(model.encode() + b"\0")
    hashes = []
    for end in range(size, len(data) + 1, size):
        running.update(data[end - size : end])
        hashes.append(running.hexdigest()[:HASH_DIGITS])
    return tuple(hashes)
