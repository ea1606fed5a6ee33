// Package stack gives a goroutine the stack that it is about to need.
package stack

// requestBytes is the stack in bytes that sending or serving an HTTP request takes, with its encoding.
const requestBytes = 8 << 10

// GrowForRequest grows the stack of the calling goroutine to what an HTTP request takes. A new goroutine has a stack of 2 KB.
// Without this call the stack is doubled several times below the frames of net/http and encoding/json, and each time all
// frames are unwound and copied. Call it at the top of a goroutine, where there is hardly anything to copy.
func GrowForRequest() { reserve(0) }

// reserve has a frame of requestBytes, for which the runtime makes room before it is entered.
//
//go:noinline
func reserve(i int) byte {
	var room [requestBytes]byte
	return room[i]
}
