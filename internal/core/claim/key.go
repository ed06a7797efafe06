// Package claim decides which request holds an idempotency key. A Bucket is a
// deterministic value: it is read from the platform's store, a batch of
// operations is applied to it, and it is written back on the condition that
// nobody else has written it since. The package has no I/O and no clock.
package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/ids"
)

// Key is a digest of workspace and idempotency key. Buckets hold digests, so
// that the length of a caller's key does not matter.
type Key [16]byte

// KeyOf returns the digest of a workspace and an idempotency key.
func KeyOf(ws ids.Workspace, key string) Key {
	h := sha256.New()
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(ws)))
	h.Write(n[:])
	h.Write([]byte(ws))
	h.Write([]byte(key))
	return Key(h.Sum(nil)[:16])
}

// Bucket returns the index of the bucket of the key among n buckets.
func (k Key) Bucket(n int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(n))
}

// String returns the key in unpadded base64.
func (k Key) String() string { return base64.RawURLEncoding.EncodeToString(k[:]) }

// parseKey is the inverse of Key.String.
func parseKey(s string) (Key, error) {
	raw, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return Key{}, errors.Wrap(err, "key")
	}
	if len(raw) != len(Key{}) {
		return Key{}, errors.Newf("key of %d bytes", len(raw))
	}
	return Key(raw), nil
}
