"""Whole numbers in headers, which anybody may have written."""

MAX_DIGITS = 15
MAX_NUMBER = 10**MAX_DIGITS


def whole_number(text: str) -> int | None:
    """Return a whole number, at most ``MAX_NUMBER``.

    :returns: ``None`` unless the text consists of ASCII digits
    """
    if not (text.isascii() and text.isdecimal()):
        return None
    digits = text.lstrip('0') or '0'
    return int(digits) if len(digits) <= MAX_DIGITS else MAX_NUMBER
