package jobs

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"
	"time"

	"redwingpulley/kernel/model"
)

const (
	keyBytes = 32
	tagBytes = 8
)

// mint makes job ids and tells whether an id is one that it made. It keeps no list: the tag of an
// id authenticates it.
type mint struct {
	owner       model.NodeID
	incarnation model.Incarnation
	key         []byte
	sequence    atomic.Uint64
}

func newMint(owner model.NodeID, incarnation model.Incarnation) *mint {
	key := make([]byte, keyBytes)
	rand.Read(key) // Never fails: the runtime stops the process instead.
	return &mint{owner: owner, incarnation: incarnation, key: key}
}

func (m *mint) next(now time.Time) model.JobID {
	parts := model.JobIDParts{
		Owner:       m.owner,
		Incarnation: m.incarnation,
		MintedMS:    now.UnixMilli(),
		Sequence:    m.sequence.Add(1),
	}
	parts.Tag = m.tag(parts)
	return model.NewJobID(parts)
}

func (m *mint) made(parts model.JobIDParts) bool {
	return hmac.Equal([]byte(parts.Tag), []byte(m.tag(parts)))
}

func (m *mint) tag(parts model.JobIDParts) string {
	mac := hmac.New(sha256.New, m.key)
	mac.Write([]byte(parts.Unsigned()))
	return hex.EncodeToString(mac.Sum(nil)[:tagBytes])
}
