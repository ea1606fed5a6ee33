package drain

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestWaitReturnsAfterTheLastHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var g Gate
		g.Wait(t.Context()) // Nobody is inside.
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
			t.Fatal("one is still inside")
		default:
		}
		g.Leave()
		<-done
	})
}

func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		g.Enter()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Wait(ctx)
	})
}
