"""Base class of the errors that this project raises on purpose."""


class HollyridgeError(Exception):
    """Error about a request or input that cannot be used; the message describes the fault and its location.

    Each package derives its own errors from this class, so that callers can distinguish them from programming errors.
    """
