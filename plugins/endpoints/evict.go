package endpoints

import "time"

// evict makes room for a further entry in a shard that may hold so many: it removes the entries that have expired, and the one that expires
// first when there are still too many.
func evict[K comparable, V any](entries map[K]V, most int, now time.Time, expires func(V) time.Time) {
	if len(entries) < most {
		return
	}
	var first K
	var firstAt time.Time
	for key, entry := range entries {
		switch at := expires(entry); {
		case at.Before(now):
			delete(entries, key)
		case firstAt.IsZero() || at.Before(firstAt):
			first, firstAt = key, at
		}
	}
	if len(entries) >= most {
		delete(entries, first)
	}
}
