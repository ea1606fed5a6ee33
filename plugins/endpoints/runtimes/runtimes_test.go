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
	learnWeight   = 0.1 // Of the built-in profile.
	bucketWidth   = 1.0 / bucketsPerDouble
	twoSeconds    = 200 // Samples in two seconds at 100 runs a second.
	byDefault     = 300 * time.Millisecond
	ordinary      = 100 * time.Millisecond
	tailed        = 7 * ordinary
	tailedOneIn   = 33 // 3% of runs.
	manyTaskBatch = 16
)

// learnTailed adds run times of which 3% are 7 times as long as the others.
func learnTailed(e *Estimates, samples int, run time.Duration) {
	for i := range samples {
		if i%tailedOneIn == tailedOneIn-1 {
			e.ClassOf("t", 0).Learn(learnWeight, 7*run)
			continue
		}
		e.ClassOf("t", 0).Learn(learnWeight, run)
	}
}

func batchOf(e *Estimates, tasks int) (Batch, Estimate) {
	b := e.Batch("t", tasks)
	var estimate Estimate
	for range tasks {
		_, estimate = b.Add(0, byDefault)
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
			t.Fatalf("%v of %d samples are within %v ms and %v within %v ms, instead of %v",
				h.shareWithin(low), len(samples), low, h.shareWithin(high), high, quantile)
		}
	})
}

// Guards against one long run that shifts all estimates: it weighs no more than any other sample.
func TestOneLongRunChangesNoEstimateMuch(t *testing.T) {
	is := is.New(t)
	e := New()
	learnTailed(&e, 1000, ordinary)
	before, estimate := batchOf(&e, manyTaskBatch)
	e.ClassOf("t", 0).Learn(learnWeight, 50*ordinary)
	after, estimateAfter := batchOf(&e, manyTaskBatch)
	is.True(near(estimateAfter.Median, estimate.Median))
	is.True(near(estimateAfter.P95, estimate.P95))
	is.True(near(after.MedianLongest, before.MedianLongest))
	is.True(estimateAfter.Mean < estimate.Mean*3/2)
	is.True(math.Abs(after.EndWithin(2*tailed)-before.EndWithin(2*tailed)) < 0.1)
}

// Guards against estimates that stay wrong after a disturbance: when real run times rise or fall, all follow within two seconds.
func TestEstimatesFollowRunTimesWithinTwoSeconds(t *testing.T) {
	for name, run := range map[string]time.Duration{"longer": 5 * ordinary, "shorter": ordinary / 5, "a little longer": ordinary * 3 / 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			changed, fresh := New(), New()
			learnTailed(&changed, 5000, ordinary)
			learnTailed(&changed, twoSeconds, run)
			learnTailed(&fresh, twoSeconds, run)
			batch, estimate := batchOf(&changed, manyTaskBatch)
			want, wanted := batchOf(&fresh, manyTaskBatch)
			is.True(near(estimate.Median, wanted.Median))
			is.True(near(estimate.P95, wanted.P95))
			is.True(near(batch.MedianLongest, want.MedianLongest))
			is.True(estimate.Mean > wanted.Mean*2/3 && estimate.Mean < wanted.Mean*3/2)
		})
	}
}

// Guards against a tail of long runs that is forgotten, or taken for the run time of most tasks.
func TestTailIsKnownByItsShare(t *testing.T) {
	is := is.New(t)
	e := New()
	learnTailed(&e, 5000, ordinary)
	one, estimate := batchOf(&e, 1)
	many, _ := batchOf(&e, manyTaskBatch)
	is.True(near(estimate.Median, ordinary))
	is.True(near(estimate.P95, ordinary))
	is.True(math.Abs(one.EndWithin(2*ordinary)-0.97) < 0.015)
	is.True(math.Abs(many.EndWithin(2*ordinary)-math.Pow(0.97, manyTaskBatch)) < 0.12)
	is.True(near(many.P95Longest, tailed))
}

// Guards against a class that is judged by few samples of its own, or by the declared run time when many are known.
func TestLevelWithFewSamplesLeansOnTheWiderOne(t *testing.T) {
	is := is.New(t)
	e := New()
	none, estimate := batchOf(&e, 4)
	is.Equal(estimate, Estimate{byDefault, byDefault, byDefault})
	is.Equal(none.EndWithin(byDefault), 1.0)
	is.Equal(none.EndWithin(byDefault-1), 0.0)
	learnTailed(&e, 500, ordinary)
	b := e.Batch("other", 1)
	_, other := b.Add(0, byDefault)
	is.True(near(other.Median, ordinary))
	e.ClassOf("other", 0).Learn(learnWeight, 10*ordinary)
	_, other = b.Add(0, byDefault)
	is.True(near(other.Median, ordinary))
	b = e.Batch("other", 1)
	_, other = b.Add(0, byDefault)
	is.True(other.Median > ordinary && other.Median < 3*ordinary)
}
