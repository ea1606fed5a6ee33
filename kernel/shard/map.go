// Package shard holds the container in which the dispatcher keeps its state: a map split by the
// hash of its key into shards, each under its own lock.
//
// A lock is held for one call of the function given to Do, which must not block, do I/O, or enter
// another shard.
package shard

import (
	"hash/maphash"
	"sync"
)

// DefaultCount is the number of shards that state is split into where settings name none. It is
// a few times the cores of an entry VM, so that two threads seldom meet at one lock.
const DefaultCount = 64

// Map is a sharded map. Create one with New.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards []locked[K, V]
}

type locked[K comparable, V any] struct {
	mu      sync.Mutex
	entries map[K]V
	_       [64]byte // Keeps the locks of neighbouring shards on separate cache lines.
}

// New returns an empty map of count shards; count below 1 is taken as 1.
func New[K comparable, V any](count int) *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed(), shards: make([]locked[K, V], max(count, 1))}
	for i := range m.shards {
		m.shards[i].entries = make(map[K]V)
	}
	return m
}

// Do calls f with the entries of key's shard, under that shard's lock.
func (m *Map[K, V]) Do(key K, f func(entries map[K]V)) {
	s := &m.shards[maphash.Comparable(m.seed, key)%uint64(len(m.shards))]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.entries)
}

// Get returns the value of key.
func (m *Map[K, V]) Get(key K) (value V, ok bool) {
	m.Do(key, func(entries map[K]V) { value, ok = entries[key] })
	return value, ok
}

// GetOrCreate returns the value of key, made by create when there is none yet.
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

// Each calls f with the entries of one shard after another, under that shard's lock alone.
func (m *Map[K, V]) Each(f func(entries map[K]V)) {
	for i := range m.shards {
		m.eachIn(&m.shards[i], f)
	}
}

func (m *Map[K, V]) eachIn(s *locked[K, V], f func(entries map[K]V)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.entries)
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() (count int) {
	m.Each(func(entries map[K]V) { count += len(entries) })
	return count
}
