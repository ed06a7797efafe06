package authenticate

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/umberhill/umberhill/internal/api"
)

const (
	// shardCount is one for each value of a hash's first byte.
	shardCount = 256
	// headBytes of a hash choose the entries that are compared in full.
	headBytes = 8
)

// entry is one key's hash and the contract it belongs to.
type entry struct {
	hash     [sha256.Size]byte
	contract *api.Contract
}

// shard holds the entries whose hashes begin with the same byte.
type shard map[[headBytes]byte][]entry

// index finds contracts by keys. It is never changed: an update makes a new one
// that shares the shards which stay as they are.
type index [shardCount]shard

// find returns the contract of a key, nil where none has it. The time it takes
// does not depend on how much of a hash is right.
func (x *index) find(key string) *api.Contract {
	hash := sha256.Sum256([]byte(key))
	var found *api.Contract
	for _, e := range x[hash[0]][headOf(hash)] {
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			found = e.contract
		}
	}
	return found
}

// editor makes a new index out of another.
type editor struct {
	next   *index
	copied [shardCount]bool
}

func (x *index) edit() *editor {
	next := *x
	return &editor{next: &next}
}

func (e *editor) shard(hash [sha256.Size]byte) shard {
	n := hash[0]
	if !e.copied[n] {
		e.copied[n] = true
		e.next[n] = maps.Clone(e.next[n])
		if e.next[n] == nil {
			e.next[n] = shard{}
		}
	}
	return e.next[n]
}

func (e *editor) add(c *api.Contract) {
	for _, key := range c.Keys {
		hash, ok := decode(key)
		if !ok {
			continue
		}
		s := e.shard(hash)
		s[headOf(hash)] = append(slices.Clone(s[headOf(hash)]), entry{hash: hash, contract: c})
	}
}

func (e *editor) remove(c *api.Contract) {
	for _, key := range c.Keys {
		hash, ok := decode(key)
		if !ok {
			continue
		}
		s := e.shard(hash)
		left := slices.DeleteFunc(slices.Clone(s[headOf(hash)]), func(e entry) bool { return e.contract == c })
		if len(left) == 0 {
			delete(s, headOf(hash))
			continue
		}
		s[headOf(hash)] = left
	}
}

func headOf(hash [sha256.Size]byte) [headBytes]byte {
	return [headBytes]byte(hash[:headBytes])
}

// decode reads a key's hash. One that can't be read is passed over; validation
// has refused it before.
func decode(key api.KeyHash) ([sha256.Size]byte, bool) {
	raw, err := hex.DecodeString(key.SHA256)
	if err != nil || len(raw) != sha256.Size {
		return [sha256.Size]byte{}, false
	}
	return [sha256.Size]byte(raw), true
}
