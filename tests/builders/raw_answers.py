"""Reads answers from a connection, byte for byte as HTTP/1.1 frames them."""

from typing import NamedTuple


class RawAnswer(NamedTuple):
    """An answer, with the number of interim answers before it."""

    status: int
    headers: dict
    body: bytes
    interims: int


async def read_answer(reader):
    """Return the next answer; ``None`` if the connection ends before it."""
    interims = -1
    status = 100
    while status == 100:
        head = await _read_head(reader)
        if head is None:
            return None
        interims += 1
        status, headers = head
    return RawAnswer(
        status, headers, await _read_body(reader, headers), interims
    )


async def read_answers(reader):
    """Return all answers until the connection ends."""
    answers = []
    while (answer := await read_answer(reader)) is not None:
        answers.append(answer)
    return answers


async def _read_head(reader):
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (field := await reader.readline()).strip():
        name, _, text = field.decode('latin-1').partition(':')
        headers[name.lower()] = text.strip()
    return int(line.split()[1]), headers


async def _read_body(reader, headers):
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    if 'chunked' not in headers.get('transfer-encoding', ''):
        return await reader.read()
    body = b''
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body
