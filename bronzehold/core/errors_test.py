from bronzehold.core import errors


def test_message_quotes_only_the_begin_of_a_long_name():
    """Guards against Fault: answers of a mebibyte that nobody takes."""
    failure = errors.NameMissing(kind="statement", name="x" * (1 << 20))
    message = errors.report(failure).message
    assert message.startswith('not run: statement "xxx')
    assert len(message) < 2 * errors.MAX_MESSAGE_LENGTH
