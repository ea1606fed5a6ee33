package shard

import (
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"
)

func TestGetOrCreateCreatesOneValuePerKey(t *testing.T) {
	is := is.New(t)
	m := New[string, *int](4)
	var wg sync.WaitGroup
	var created sync.Map
	for i := range 100 {
		wg.Go(func() {
			v := m.GetOrCreate("key", func() *int { return &i })
			created.Store(v, true)
		})
	}
	wg.Wait()
	distinct := 0
	created.Range(func(any, any) bool { distinct++; return true })
	is.Equal(distinct, 1)
	is.Equal(m.Len(), 1)
	m.Delete("key")
	_, ok := m.Get("key")
	is.True(!ok)
}

func TestDoExcludesConcurrentCallsOnSameShard(t *testing.T) {
	is := is.New(t)
	m := New[int, int](8)
	var wg sync.WaitGroup
	const goroutines, additions, keys = 10, 1000, 5
	for range goroutines {
		wg.Go(func() {
			for i := range additions {
				m.Do(i%keys, func(entries map[int]int) { entries[i%keys]++ })
			}
		})
	}
	wg.Wait()
	total := 0
	m.Each(func(entries map[int]int) {
		for _, v := range entries {
			total += v
		}
	})
	is.Equal(total, goroutines*additions)
}

// BenchmarkDo compares one lock with the default number of shards for 1 to 10 goroutines.
func BenchmarkDo(b *testing.B) {
	for _, shards := range []int{1, DefaultCount} {
		for _, goroutines := range []int{1, 2, 5, 10} {
			name := "shards=" + strconv.Itoa(shards) + "/goroutines=" + strconv.Itoa(goroutines)
			b.Run(name, func(b *testing.B) { benchmarkDo(b, shards, goroutines) })
		}
	}
}

func benchmarkDo(b *testing.B, shards, goroutines int) {
	const keys = 1024
	m := New[int, int](shards)
	for i := range keys {
		m.Do(i, func(entries map[int]int) { entries[i] = 0 })
	}
	var wg sync.WaitGroup
	b.ResetTimer()
	for g := range goroutines {
		wg.Go(func() {
			for i := range b.N / goroutines {
				key := (i*31 + g*97) % keys
				m.Do(key, func(entries map[int]int) { entries[key]++ })
			}
		})
	}
	wg.Wait()
}
