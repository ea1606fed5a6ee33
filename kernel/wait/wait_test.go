package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestForWaitsForTheDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		is.True(For(context.Background(), time.Second))
		is.Equal(time.Since(start), time.Second)
		is.True(For(context.Background(), 0))
	})
}

func TestForReturnsFalseWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		is.True(!For(ctx, time.Minute))
		is.Equal(time.Since(start), time.Second)
		is.True(!For(ctx, 0))
	})
}
