package runtimes

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	learnWeight         = 0.1 // Of the built-in profile.
	bucketWidth         = 1.0 / bucketsPerDouble
	samplesInTwoSeconds = 200 // At 100 runs a second.
	defaultRun          = 300 * time.Millisecond
	ordinary            = 100 * time.Millisecond
	tailed              = 7 * ordinary
	manyTaskBatch       = 16
)

// learnTailed adds run times of which 3% are 7 times as long as the others.
func learnTailed(e *Estimates, samples int, run time.Duration) {
	for i := range samples {
		factor := time.Duration(1)
		if i%33 == 32 {
			factor = 7
		}
		e.ClassOf("t", 0).Learn(learnWeight, factor*run)
	}
}

func batchOf(e *Estimates, tasks int) (Batch, Estimate) {
	b := e.Batch("t", tasks)
	var estimate Estimate
	for range tasks {
		_, estimate = b.Add(0, defaultRun)
	}
	return b, estimate
}

// near reports whether two run times differ by no more than a bucket's width, and 2% of lag.
func near(got, want time.Duration) bool {
	return math.Abs(float64(got-want)) <= (bucketWidth+0.02)*float64(want)+float64(shortest)
}

// Guards against errors of buckets and interpolation: quantiles and shares of any run times are those of the sorted samples to within a bucket.
func TestQuantilesAreThoseOfTheSortedSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.SliceOfN(rapid.Int64Range(0, int64(time.Hour)), 1, 200).Draw(t, "samples")
		quantile := rapid.Float64Range(0.01, 0.999).Draw(t, "quantile")
		var h histogram
		for _, s := range samples {
			h.add(math.Inf(1), time.Duration(s)) // Without decay.
		}
		h.refresh(math.Inf(1))
		slices.Sort(samples)
		rank := max(int(math.Ceil(quantile*float64(len(samples)))), 1)
		want := time.Duration(samples[rank-1])
		if got := duration(h.quantile(quantile)); !near(got, want) {
			t.Fatalf("quantile %v of %d samples is %v instead of %v", quantile, len(samples), got, want)
		}
		low, high := want.Seconds()*1e3/(1+bucketWidth)-1, want.Seconds()*1e3*(1+bucketWidth)+1
		if h.shareWithin(low) > quantile+1e-5 || h.shareWithin(high) < quantile-1e-5 {
			t.Fatalf("%v and %v within %v and %v ms, instead of %v", h.shareWithin(low), h.shareWithin(high), low, high, quantile)
		}
	})
}

// Guards against estimates that stay wrong after a disturbance: when real run times rise or fall, all follow within two seconds.
func TestEstimatesFollowRunTimesWithinTwoSeconds(t *testing.T) {
	for name, run := range map[string]time.Duration{"longer": 5 * ordinary, "shorter": ordinary / 5, "a little longer": ordinary * 3 / 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			changed, fresh := New(), New()
			learnTailed(&changed, 5000, ordinary)
			learnTailed(&changed, samplesInTwoSeconds, run)
			learnTailed(&fresh, samplesInTwoSeconds, run)
			batch, estimate := batchOf(&changed, manyTaskBatch)
			want, wanted := batchOf(&fresh, manyTaskBatch)
			is.True(near(estimate.Median, wanted.Median) && near(estimate.P95, wanted.P95) && near(batch.MedianLongest, want.MedianLongest))
			is.True(estimate.Mean > wanted.Mean*2/3 && estimate.Mean < wanted.Mean*3/2)
		})
	}
}

// Guards against a tail of long runs that is forgotten, or taken for the run time of most tasks, and against one very long run that
// weighs more than another.
func TestTailIsKnownByItsShare(t *testing.T) {
	is := is.New(t)
	e := New()
	learnTailed(&e, 5000, ordinary)
	e.ClassOf("t", 0).Learn(learnWeight, 50*ordinary)
	one, estimate := batchOf(&e, 1)
	many, _ := batchOf(&e, manyTaskBatch)
	is.True(near(estimate.Median, ordinary) && near(estimate.P95, ordinary) && near(many.P95Longest, tailed))
	is.True(estimate.Mean < 2*ordinary)
	is.True(math.Abs(one.EndWithin(2*ordinary)-0.97) < 0.015)
	is.True(math.Abs(many.EndWithin(2*ordinary)-math.Pow(0.97, manyTaskBatch)) < 0.12)
}

// Guards against a class that is judged by few samples of its own, or by the declared run time when many are known.
func TestLevelWithFewSamplesReliesOnTheWiderOne(t *testing.T) {
	is := is.New(t)
	e := New()
	none, estimate := batchOf(&e, 4)
	is.Equal(estimate, Estimate{defaultRun, defaultRun, defaultRun})
	is.Equal([]float64{none.EndWithin(defaultRun), none.EndWithin(defaultRun - 1)}, []float64{1, 0})
	learnTailed(&e, 500, ordinary)
	e.ClassOf("other", 0).Learn(learnWeight, 10*ordinary)
	b := e.Batch("other", 1)
	_, other := b.Add(0, defaultRun)
	is.True(other.Median > ordinary && other.Median < 3*ordinary)
}

// Guards against a table of teams that grows with each explanation of a placement.
func TestRestoredSnapshotHasNoAddedClass(t *testing.T) {
	is := is.New(t)
	e := New()
	e.ClassOf("known", time.Second)
	restore := e.Snapshot()
	e.ClassOf("other", time.Second)
	restore()
	is.Equal(len(e.teams), 1)
}
