// Package revision orders the states of a store that may return from an older copy. Its
// revisions then go back and are given out again, and its era rises by one. Routers hold
// era and revision in one number, so that states are ordered by era first. A store
// without eras has era 0, and its numbers are the store's revisions.
package revision

// storeBits is the number of bits of the store's own revision.
const storeBits = 44

// maxEra is the highest era that can be represented; higher ones count as this one.
const maxEra = 1<<(64-storeBits) - 1

// Join returns the number for a revision of the store in an era.
func Join(era, storeRevision uint64) uint64 {
	return min(era, maxEra)<<storeBits | storeRevision&(1<<storeBits-1)
}

// Split returns the era and the store's revision of a number.
func Split(joined uint64) (era, storeRevision uint64) {
	return joined >> storeBits, joined & (1<<storeBits - 1)
}

// IsLaterEra reports whether a belongs to a later era than b.
func IsLaterEra(a, b uint64) bool { return a>>storeBits > b>>storeBits }
