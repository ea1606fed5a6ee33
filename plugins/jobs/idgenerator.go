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
	secretBytes = 32
	tagBytes    = 8
)

// idGenerator mints job ids and verifies that an id is one of its own. It keeps no list of ids: the tag
// in an id is a MAC that authenticates it. The time in an id is the wall clock at the generator's start
// plus the monotonic time since then, so that setting the wall clock back does not make an id younger.
type idGenerator struct {
	owner       model.NodeID
	incarnation model.Incarnation
	secret      []byte
	started     time.Time
	sequence    atomic.Uint64
}

func newIDGenerator(owner model.NodeID, incarnation model.Incarnation, started time.Time) *idGenerator {
	secret := make([]byte, secretBytes)
	rand.Read(secret) // Never fails: the runtime stops the process instead.
	return &idGenerator{owner: owner, incarnation: incarnation, secret: secret, started: started}
}

// next mints a job id.
func (g *idGenerator) next(now time.Time) model.JobID {
	parts := model.JobIDParts{
		Owner:       g.owner,
		Incarnation: g.incarnation,
		MintedMS:    g.monotonicUnixMS(now),
		Sequence:    g.sequence.Add(1),
	}
	parts.Tag = g.tag(parts)
	return model.NewJobID(parts)
}

// monotonicUnixMS returns a Unix time in milliseconds that never goes back within an incarnation.
func (g *idGenerator) monotonicUnixMS(now time.Time) int64 {
	return g.started.UnixMilli() + now.Sub(g.started).Milliseconds()
}

// age returns how long ago the id was minted.
func (g *idGenerator) age(parts model.JobIDParts, now time.Time) time.Duration {
	return time.Duration(g.monotonicUnixMS(now)-parts.MintedMS) * time.Millisecond
}

// issued reports whether this generator minted the id.
func (g *idGenerator) issued(parts model.JobIDParts) bool {
	return hmac.Equal([]byte(parts.Tag), []byte(g.tag(parts)))
}

// tag returns the truncated MAC of all other parts of an id, in hex.
func (g *idGenerator) tag(parts model.JobIDParts) string {
	mac := hmac.New(sha256.New, g.secret)
	mac.Write([]byte(parts.Unsigned()))
	return hex.EncodeToString(mac.Sum(nil)[:tagBytes])
}
