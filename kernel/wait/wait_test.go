package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestForWaitsForTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		is.True(For(context.Background(), time.Second))
		is.Equal(time.Since(begin), time.Second)
		is.True(For(context.Background(), 0))
	})
}

func TestForEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		begin := time.Now()
		is.True(!For(ctx, time.Minute))
		is.Equal(time.Since(begin), time.Second)
		is.True(!For(ctx, 0))
	})
}
