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
	// shardCount is the number of values of a hash's first byte.
	shardCount = 256
	// prefixBytes is the length of the hash prefix by which entries are looked up.
	// The full hashes of the entries found are then compared.
	prefixBytes = 8
)

// entry is one key's hash and the contract it belongs to.
type entry struct {
	hash     [sha256.Size]byte
	contract *api.Contract
}

// shard holds the entries whose hashes start with the same byte, by hash prefix.
type shard map[[prefixBytes]byte][]entry

// index maps keys to contracts. It is immutable: an update creates a new index that
// shares the unchanged shards.
type index [shardCount]shard

// find returns the contract of a key, nil if no contract has it. It compares hashes
// in constant time, so that its duration does not reveal how much of a hash matches.
func (x *index) find(key string) *api.Contract {
	hash := sha256.Sum256([]byte(key))
	var found *api.Contract
	for _, e := range x[hash[0]][prefixOf(hash)] {
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			found = e.contract
		}
	}
	return found
}

// editor builds a new index from an existing one and copies only the shards that it
// changes.
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
		hash, ok := decodeHash(key)
		if !ok {
			continue
		}
		s := e.shard(hash)
		s[prefixOf(hash)] = append(slices.Clone(s[prefixOf(hash)]), entry{hash: hash, contract: c})
	}
}

func (e *editor) remove(c *api.Contract) {
	for _, key := range c.Keys {
		hash, ok := decodeHash(key)
		if !ok {
			continue
		}
		s := e.shard(hash)
		remaining := slices.DeleteFunc(slices.Clone(s[prefixOf(hash)]), func(e entry) bool { return e.contract == c })
		if len(remaining) == 0 {
			delete(s, prefixOf(hash))
			continue
		}
		s[prefixOf(hash)] = remaining
	}
}

func prefixOf(hash [sha256.Size]byte) [prefixBytes]byte {
	return [prefixBytes]byte(hash[:prefixBytes])
}

// decodeHash returns the hash of a key, and false if it is malformed. Callers skip
// malformed hashes, which the validation of contracts has already refused.
func decodeHash(key api.KeyHash) ([sha256.Size]byte, bool) {
	raw, err := hex.DecodeString(key.SHA256)
	if err != nil || len(raw) != sha256.Size {
		return [sha256.Size]byte{}, false
	}
	return [sha256.Size]byte(raw), true
}
