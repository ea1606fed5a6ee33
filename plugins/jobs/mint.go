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
// id authenticates it. Ids carry the wall clock of the start plus the monotonic time since, so that
// a wall clock that is set back makes no id younger.
type mint struct {
	owner       model.NodeID
	incarnation model.Incarnation
	key         []byte
	started     time.Time
	sequence    atomic.Uint64
}

func newMint(owner model.NodeID, incarnation model.Incarnation, started time.Time) *mint {
	key := make([]byte, keyBytes)
	rand.Read(key) // Never fails: the runtime stops the process instead.
	return &mint{owner: owner, incarnation: incarnation, key: key, started: started}
}

func (m *mint) next(now time.Time) model.JobID {
	parts := model.JobIDParts{
		Owner:       m.owner,
		Incarnation: m.incarnation,
		MintedMS:    m.clock(now),
		Sequence:    m.sequence.Add(1),
	}
	parts.Tag = m.tag(parts)
	return model.NewJobID(parts)
}

// clock returns milliseconds that never go back within an incarnation.
func (m *mint) clock(now time.Time) int64 {
	return m.started.UnixMilli() + now.Sub(m.started).Milliseconds()
}

// age returns how long ago the id was minted.
func (m *mint) age(parts model.JobIDParts, now time.Time) time.Duration {
	return time.Duration(m.clock(now)-parts.MintedMS) * time.Millisecond
}

func (m *mint) made(parts model.JobIDParts) bool {
	return hmac.Equal([]byte(parts.Tag), []byte(m.tag(parts)))
}

func (m *mint) tag(parts model.JobIDParts) string {
	mac := hmac.New(sha256.New, m.key)
	mac.Write([]byte(parts.Unsigned()))
	return hex.EncodeToString(mac.Sum(nil)[:tagBytes])
}
