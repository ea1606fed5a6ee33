package drain

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestWaitReturnsAfterLastRequestLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var g Gate
		g.Wait(t.Context()) // No request is in flight.
		is.True(g.Enter())
		g.Close()
		is.True(!g.Enter())
		done := make(chan struct{})
		go func() {
			g.Wait(t.Context())
			close(done)
		}()
		g.Leave()
		synctest.Wait()
		select {
		case <-done:
			t.Fatal("Wait returned while a request was in flight")
		default:
		}
		g.Leave()
		<-done
	})
}

func TestWaitReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		g.Enter()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Wait(ctx)
	})
}
