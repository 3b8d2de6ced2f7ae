"""Decide which connections give up their input when memory is short."""

from savoryyoke.intake import conf


class Account:
    """Record the bytes that one connection holds.

    ``owner`` is the connection.
    """

    __slots__ = ('owner', 'size_bytes', 'is_protected', 'progress_bytes')

    def __init__(self, *, owner):
        self.owner = owner
        self.size_bytes = 0
        self.is_protected = False
        self.progress_bytes = 0


class ByteBudget:
    """Own the sizes of all input that a process holds.

    Buffered answers count, too: ``get_answer_bytes()`` returns their size.

    Each account is listed from its first byte until it is protected, in the
    order of the last progress. If the total exceeds the limit, the accounts
    with the oldest progress are closed first, large ones before small ones.
    """

    def __init__(self, *, limit_bytes, get_answer_bytes=lambda: 0):
        self.limit_bytes = limit_bytes
        self._get_answer_bytes = get_answer_bytes
        self._reserve_bytes = int(limit_bytes * conf.RESERVE_SHARE)
        self._total_bytes = 0
        # The keys are in the order of their last progress.
        self._small = {}
        self._large = {}

    @property
    def total_bytes(self):
        """Return the size of all input, without answers."""
        return self._total_bytes

    def resize(self, account, size_bytes):
        """Record a size and return the accounts that must be closed.

        They are released already and may include ``account`` itself.
        """
        growth_bytes = size_bytes - account.size_bytes
        self._total_bytes += growth_bytes
        account.size_bytes = size_bytes
        if growth_bytes <= 0:
            if not size_bytes:
                self._unlist(account)
            return ()
        if not account.is_protected:
            self._list(account, growth_bytes)
        limit_bytes = self._find_limit_bytes(account)
        if self._total_bytes + self._get_answer_bytes() <= limit_bytes:
            return ()
        return self._choose_victims(account, limit_bytes)

    def protect(self, account):
        """Never close an account, because its request is complete."""
        account.is_protected = True
        self._unlist(account)

    def release(self, account):
        """Forget the bytes of an account and its protection."""
        self._total_bytes -= account.size_bytes
        account.size_bytes = 0
        account.is_protected = False
        account.progress_bytes = 0
        self._unlist(account)

    def find_oldest(self):
        """Return the account with the oldest progress, or None.

        Protected accounts are left out.
        """
        for accounts in (self._large, self._small):
            for account in accounts:
                return account
        return None

    def _list(self, account, growth_bytes):
        """Move an account that has made progress behind the others."""
        account.progress_bytes += growth_bytes
        is_large = account.size_bytes > conf.SMALL_BYTES
        accounts = self._large if is_large else self._small
        if account in accounts:
            if account.progress_bytes < conf.PROGRESS_BYTES:
                return
            del accounts[account]
        elif is_large:
            self._small.pop(account, None)
        account.progress_bytes = 0
        accounts[account] = None

    def _unlist(self, account):
        self._small.pop(account, None)
        self._large.pop(account, None)

    def _find_limit_bytes(self, account):
        if account.size_bytes > conf.SMALL_BYTES:
            return self.limit_bytes - self._reserve_bytes
        return self.limit_bytes

    def _choose_victims(self, account, limit_bytes):
        """Release accounts until the total is within the limit."""
        victims = []
        answer_bytes = self._get_answer_bytes()
        while self._total_bytes + answer_bytes > limit_bytes:
            victim = self.find_oldest()
            if victim is None:
                break
            self.release(victim)
            victims.append(victim)
            if victim is account:
                break
        return tuple(victims)
