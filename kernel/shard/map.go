// Package shard provides the map in which the dispatcher keeps its state. The map is split by the
// hash of the key into shards, each with its own lock.
//
// A shard's lock is held during one call of the function passed to Do, which must not block, do I/O
// or access another shard.
package shard

import (
	"hash/maphash"
	"sync"
)

// DefaultCount is the number of shards used where no other number is configured. It is a few times
// the number of cores of an entry VM, so that two threads seldom contend for one lock.
const DefaultCount = 64

// Map is a sharded map. Create one with New.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards []lockedShard[K, V]
}

// lockedShard is one shard with the lock that guards its entries.
type lockedShard[K comparable, V any] struct {
	mu      sync.Mutex
	entries map[K]V
	_       [64]byte // Padding that keeps the locks of neighbouring shards on separate cache lines.
}

// New returns an empty map with count shards; a count below 1 is treated as 1.
func New[K comparable, V any](count int) *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed(), shards: make([]lockedShard[K, V], max(count, 1))}
	for i := range m.shards {
		m.shards[i].entries = make(map[K]V)
	}
	return m
}

// Do calls f with all entries of the shard that key belongs to, with that shard's lock held.
func (m *Map[K, V]) Do(key K, f func(entries map[K]V)) {
	s := &m.shards[maphash.Comparable(m.seed, key)%uint64(len(m.shards))]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.entries)
}

// Get returns the value of key; ok is false when there is none.
func (m *Map[K, V]) Get(key K) (value V, ok bool) {
	m.Do(key, func(entries map[K]V) { value, ok = entries[key] })
	return value, ok
}

// GetOrCreate returns the value of key. If there is none, it stores and returns the result of create,
// which is called with the shard's lock held.
func (m *Map[K, V]) GetOrCreate(key K, create func() V) (value V) {
	m.Do(key, func(entries map[K]V) {
		existing, ok := entries[key]
		if !ok {
			existing = create()
			entries[key] = existing
		}
		value = existing
	})
	return value
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	m.Do(key, func(entries map[K]V) { delete(entries, key) })
}

// Each calls f with the entries of one shard after another. During a call only the lock of that shard
// is held.
func (m *Map[K, V]) Each(f func(entries map[K]V)) {
	for i := range m.shards {
		m.doShard(&m.shards[i], f)
	}
}

func (m *Map[K, V]) doShard(s *lockedShard[K, V], f func(entries map[K]V)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.entries)
}

// Len returns the number of entries in all shards.
func (m *Map[K, V]) Len() (count int) {
	m.Each(func(entries map[K]V) { count += len(entries) })
	return count
}
