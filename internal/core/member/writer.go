package member

import "github.com/umberhill/umberhill/internal/ids"

// recordWriters is the number of routers that keep a record of the fleet in the platform's
// store. With two, one may fail.
const recordWriters = 2

// RecordWriterRank returns the place of self among the routers that keep a record in the
// store, from 0, and false if it is none of them: the first by name are, of self and its live
// candidates.
func RecordWriterRank(self ids.Instance, candidates []ids.Instance) (rank int, isWriter bool) {
	for _, c := range candidates {
		if c < self {
			rank++
		}
	}
	return rank, rank < recordWriters
}
