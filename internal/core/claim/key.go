// Package claim decides which request holds an idempotency key, so that a
// request that is repeated, or sent to several routers at once, is dispatched at
// most once within the key's window. A Bucket is a deterministic value: it is
// read from the platform's store, a batch of operations is applied to it, and it
// is written back on the condition that no other writer has changed it since.
// The package has no I/O and no clock.
//
// Invariants: a bucket has at most one entry for a key; a key that has been
// granted is not granted again until its claim is released undispatched or has
// expired; an encoded bucket never exceeds MaxBytes.
package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/ids"
)

// Key is the digest of a workspace and an idempotency key. Buckets store digests
// so that the length of a caller's key does not affect the size of an entry.
type Key [16]byte

// KeyOf returns the digest of a workspace and an idempotency key.
func KeyOf(ws ids.Workspace, key string) Key {
	h := sha256.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(ws)))
	h.Write(length[:])
	h.Write([]byte(ws))
	h.Write([]byte(key))
	return Key(h.Sum(nil)[:16])
}

// Bucket returns the index, from 0 to n-1, of the bucket that stores the key.
func (k Key) Bucket(n int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(n))
}

// String returns the key in unpadded base64.
func (k Key) String() string { return base64.RawURLEncoding.EncodeToString(k[:]) }

// parseKey decodes the output of Key.String.
func parseKey(s string) (Key, error) {
	raw, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return Key{}, errors.Wrap(err, "decode key")
	}
	if len(raw) != len(Key{}) {
		return Key{}, errors.Newf("key has %d bytes, want 16", len(raw))
	}
	return Key(raw), nil
}
