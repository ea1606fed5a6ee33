package runtimes

import (
	"math"
	"sort"
	"time"
)

const (
	shortest         = time.Millisecond // Shorter run times share the first bucket.
	subBits          = 3                // Buckets per doubling, as a power of two: a bucket is at most an eighth wide.
	bucketsPerDouble = 1 << subBits
	doublings        = 22 // Up to 70 minutes; longer run times share the last bucket.
	buckets          = 1 + doublings*bucketsPerDouble

	// halfLifeWeight is the product of a profile's learn weight and the number of samples after which a sample's weight has halved.
	// With the built-in profile that is 128, and 19 of 20 parts of the weight lie with the last 550 samples. The median of the
	// longest of 16 tasks, quantile 0.958, then rests on about 8 samples above it.
	halfLifeWeight = 12.8
	minHalfLife    = 32 // Below, the 95th percentile would rest on 2 samples.
	maxHalfLife    = 512
	// lagDivisor bounds how far the values that are read lag behind: by this fraction of the samples' weight.
	lagDivisor = 20

	// blockSamples is the number of samples in which a change of the run times is looked for. Earlier samples are forgotten when
	// changedSamples of them are more than changedBuckets away from the median, all on the same side. Without a change this
	// happens less than once in 200 million blocks, if samples are independent. Decay alone would take 500 samples until the
	// 95th percentile follows shorter run times.
	blockSamples   = 50
	changedSamples = 45
	changedBuckets = 1
)

// halfLifeOf returns the number of samples after which the weight of a sample has halved.
func halfLifeOf(learnWeight float64) float64 {
	return min(max(halfLifeWeight/learnWeight, minHalfLife), maxHalfLife)
}

// histogram counts run times in logarithmic buckets. Counts decay with the number of samples that follow.
type histogram struct {
	samples    int               // Samples since the beginning.
	counts     *[buckets]float32 // Nil before the first sample.
	cumulative *[buckets]float32 // Sums of the counts up to each bucket, as of the newest refresh.
	sum        float64           // Sum of the run times that are counted, in milliseconds.
	mean       float64           // In milliseconds, as of the newest refresh.
	unread     int               // Samples since the newest refresh.
	median     int               // Bucket of the median at the start of the block.
	block      []float32         // Newest samples, in milliseconds, in which a change is looked for.
	above      int               // Those of them that are above the median by more than changedBuckets.
	below      int               // Those of them that are below the median by more than changedBuckets.
}

// bucketOf returns the bucket of a run time in milliseconds. The exponent and the first bits of the
// fraction of a floating-point number divide each doubling into equal parts.
func bucketOf(ms float64) int {
	if ms < 1 {
		return 0
	}
	const fractionBits = 52
	const first = 1023 << subBits // Of 1 ms.
	return min(int(math.Float64bits(ms)>>(fractionBits-subBits))-first+1, buckets-1)
}

// lowerBound returns the lower bound of a bucket in milliseconds.
func lowerBound(bucket int) float64 {
	if bucket == 0 {
		return 0
	}
	doubling, part := (bucket-1)/bucketsPerDouble, (bucket-1)%bucketsPerDouble
	return math.Ldexp(1+float64(part)/bucketsPerDouble, doubling)
}

// add counts a run time. Weights of samples halve with each halfLife of them.
func (h *histogram) add(halfLife float64, run time.Duration) {
	if h.counts == nil {
		h.counts, h.cumulative = new([buckets]float32), new([buckets]float32)
		h.block = make([]float32, 0, blockSamples)
	}
	h.samples++
	ms := max(float64(run)/float64(shortest), 0)
	h.count(ms)
	h.recordInBlock(halfLife, ms)
	if float32(h.unread) > h.total()/lagDivisor {
		h.refresh(halfLife)
	}
}

func (h *histogram) count(ms float64) {
	h.counts[bucketOf(ms)]++
	h.sum += ms
	h.unread++
}

// total returns the sum of all counts as of the newest refresh.
func (h *histogram) total() float32 { return h.cumulative[buckets-1] }

// refresh applies the decay for the samples since the last refresh, and makes them readable.
func (h *histogram) refresh(halfLife float64) {
	decay := math.Exp2(-float64(h.unread) / halfLife)
	h.sum *= decay
	h.unread = 0
	var total float32
	for i := range h.counts {
		h.counts[i] *= float32(decay)
		total += h.counts[i]
		h.cumulative[i] = total
	}
	h.mean = h.sum / float64(total)
}

// recordInBlock forgets all samples before the newest block if that shows that run times have changed.
func (h *histogram) recordInBlock(halfLife, ms float64) {
	if len(h.block) == 0 && h.samples > 1 {
		h.median = h.bucketAt(0.5)
	}
	h.block = append(h.block, float32(ms))
	switch bucket := bucketOf(ms); {
	case bucket > h.median+changedBuckets:
		h.above++
	case bucket < h.median-changedBuckets:
		h.below++
	}
	if len(h.block) < blockSamples {
		return
	}
	if h.samples > blockSamples && max(h.above, h.below) >= changedSamples {
		h.restart(halfLife)
	}
	h.block, h.above, h.below = h.block[:0], 0, 0
}

// restart keeps only the samples of the newest block.
func (h *histogram) restart(halfLife float64) {
	*h.counts, h.sum, h.unread = [buckets]float32{}, 0, 0
	for _, ms := range h.block {
		h.count(float64(ms))
	}
	h.refresh(halfLife)
}

// bucketAt returns the bucket of a quantile.
func (h *histogram) bucketAt(quantile float64) int {
	wanted := float32(quantile) * h.total()
	return min(sort.Search(buckets, func(i int) bool { return h.cumulative[i] >= wanted }), buckets-1)
}

// countBefore returns the count of all buckets before the given one.
func (h *histogram) countBefore(bucket int) float64 {
	if bucket == 0 {
		return 0
	}
	return float64(h.cumulative[bucket-1])
}

// quantile returns a quantile in milliseconds, interpolated within its bucket.
func (h *histogram) quantile(quantile float64) float64 {
	bucket := h.bucketAt(quantile)
	before := h.countBefore(bucket)
	count := max(float64(h.cumulative[bucket])-before, math.SmallestNonzeroFloat32)
	low := lowerBound(bucket)
	share := min(max((quantile*float64(h.total())-before)/count, 0), 1)
	return low + share*(lowerBound(bucket+1)-low)
}

// shareWithin returns the share of the samples that are at most the given time in milliseconds.
func (h *histogram) shareWithin(ms float64) float64 {
	bucket := bucketOf(ms)
	before, low := h.countBefore(bucket), lowerBound(bucket)
	within := min(max((ms-low)/(lowerBound(bucket+1)-low), 0), 1)
	return (before + within*(float64(h.cumulative[bucket])-before)) / float64(h.total())
}
