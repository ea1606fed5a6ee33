package stack

import (
	"sync"
	"testing"
)

// deep calls itself with frames of about the size of those of net/http, so that depth calls need about depth/4 KB.
//
//go:noinline
func deep(depth int) byte {
	var frame [200]byte
	frame[depth] = 1
	if depth == 0 {
		return frame[0]
	}
	return frame[depth] + deep(depth-1)
}

// BenchmarkGoroutine measures a goroutine that needs the stack of a request, with and without growing it at once.
func BenchmarkGoroutine(b *testing.B) {
	const depth = 28 // About 7 KB.
	for name, prepare := range map[string]func(){"grown_at_once": GrowForRequest, "grown_by_need": func() {}} {
		b.Run(name, func(b *testing.B) {
			var ended sync.WaitGroup
			for b.Loop() {
				ended.Go(func() { prepare(); deep(depth) })
				ended.Wait()
			}
		})
	}
}
