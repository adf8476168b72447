"""Search for the item with the least share in use that can take more."""

import heapq


class LeastUsed:
    """Items, numbered from 0, in the order of their shares in use.

    One search costs about as many steps as items are passed over, where a
    look at each of them would cost as many as there are. Shares grow while it
    is in use; one that shrinks is found later than it might be.

    Args:
        shares: the share in use of each item; 0 = idle, 1 = full.
    """

    def __init__(self, shares):
        self._heap = [(share, number) for number, share in enumerate(shares)]
        heapq.heapify(self._heap)

    def find(self, share_of, can_take, most_share):
        """Return the number of the least used item that can take more.

        Of several with the same share it is the first one.

        Args:
            share_of: returns the present share in use of an item.
            can_take: returns whether an item can take more.
            most_share: share in use beyond which no item can take more.

        Returns:
            The number; None if no item can take more.
        """
        passed, found = [], None
        while self._heap and found is None:
            share, number = self._heap[0]
            present = share_of(number)
            if present != share:
                heapq.heapreplace(self._heap, (present, number))
                continue
            if share > most_share:
                break
            passed.append(heapq.heappop(self._heap))
            if can_take(number):
                found = number
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return found
