// Package speed learns how fast the workers of a pool are in relation to each other. The load that it addresses: workers of
// two kinds of which one takes 2.4 times as long as the other, and workers that slow down by a factor of 8 for seconds.
//
// A sample is the logarithm of a run time over the run time that is expected at speed 1. The estimate for a worker is the
// moving average of its samples, blended with the average of its kind, which is blended with 0 (speed 1). A worker without
// samples returns to the estimate of its kind, so that it is tried again.
//
// A Table does no I/O and reads no clock.
package speed

import (
	"math"
	"time"
)

const (
	windowSamples = 16  // Number of samples over which a worker's average reaches.
	kindSamples   = 256 // Number of samples over which a kind's average reaches.
	priorSamples  = 4   // Number of samples that weigh as much as the prior.

	// idleAfter is the time without a sample after which a worker's average loses weight, and idleDecay the time constant of
	// that loss: 10 s after the last sample less than a tenth of the difference from the kind is left.
	idleAfter = time.Second
	idleDecay = 2 * time.Second

	// outliersInRow is how many samples in a row, all on the same side, have to be outliers for the worker to count as changed. Fewer
	// outliers are moved to within outlierBound of the estimate, since some runs take several times as long as others at the same worker.
	outliersInRow = 3

	retention = time.Minute // After this time without a sample an entry says nothing that its kind does not.
	minTable  = 64          // Number of workers from which on entries are evicted.
	maxKinds  = 256         // Number of kinds that are told apart; the others count as one.
)

var (
	outlierBound = math.Log(3)  // Distance from the estimate, in logarithms, beyond which a sample is an outlier.
	maxSample    = math.Log(16) // Bounds a sample in both directions.
)

// Table holds the estimates of a pool, by the addresses of the workers' endpoints, which survive a restart. Create one with NewTable.
// It is not safe for concurrent use.
type Table struct {
	workers    map[string]*average
	kinds      map[string]*average
	evictAbove int // Number of workers above which those without recent samples are evicted.
}

// average is a moving average of samples.
type average struct {
	mean     float64
	weight   float64   // Number of samples that it stands for.
	newest   time.Time // Time of the newest sample.
	decayed  time.Time // Time up to which the weight has been lowered for lack of samples.
	outliers int       // Number of consecutive outliers; negative when they were below the estimate.
}

// NewTable returns a table without samples.
func NewTable() *Table {
	return &Table{workers: make(map[string]*average), kinds: map[string]*average{"": {}}, evictAbove: minTable}
}

// Add adds the run time of a task that ended by itself; expected is the estimate for a worker of speed 1.
func (t *Table) Add(now time.Time, address, kind string, run, expected time.Duration) {
	if run <= 0 || expected <= 0 {
		return
	}
	sample := bounded(math.Log(float64(run)/float64(expected)), maxSample)
	k, w := t.kindOf(kind), t.worker(now, address)
	w.decayIdle(now)
	estimate := blend(w, k.estimate())
	clipped := estimate + bounded(sample-estimate, outlierBound)
	w.countOutlier(sample - clipped)
	if w.outliers >= outliersInRow || w.outliers <= -outliersInRow {
		w.outliers, w.mean, w.weight = 0, sample, outliersInRow
	} else {
		w.add(clipped, windowSamples)
	}
	w.newest = now
	k.add(clipped, kindSamples)
}

// Adopt sets the estimate for a worker to the one that another member has learned, unless samples of the worker still have weight.
func (t *Table) Adopt(now time.Time, address string, factor float64) {
	if !(factor > 0) {
		return
	}
	w := t.worker(now, address)
	if w.decayIdle(now); w.weight >= 1 {
		return
	}
	w.mean, w.weight, w.newest, w.outliers = bounded(math.Log(factor), maxSample), windowSamples, now, 0
}

// Factor returns the estimated run time of a task at the worker over that at a worker of speed 1.
func (t *Table) Factor(now time.Time, address, kind string) float64 {
	prior := t.kindOf(kind).estimate()
	w, ok := t.workers[address]
	if !ok {
		return math.Exp(prior)
	}
	w.decayIdle(now)
	return math.Exp(blend(w, prior))
}

// worker returns the average of a worker, which it adds if there is none.
func (t *Table) worker(now time.Time, address string) *average {
	w, ok := t.workers[address]
	if !ok {
		t.evictIdle(now)
		w = &average{newest: now}
		t.workers[address] = w
	}
	return w
}

// evictIdle removes the workers without recent samples when there are twice as many as after the last time.
func (t *Table) evictIdle(now time.Time) {
	if len(t.workers) < t.evictAbove {
		return
	}
	for address, w := range t.workers {
		if now.Sub(w.newest) > retention {
			delete(t.workers, address)
		}
	}
	t.evictAbove = max(minTable, 2*len(t.workers))
}

// kindOf returns the average of a kind, which it adds if there is none.
func (t *Table) kindOf(kind string) *average {
	if k, ok := t.kinds[kind]; ok {
		return k
	}
	if len(t.kinds) > maxKinds {
		return t.kinds[""]
	}
	k := &average{}
	t.kinds[kind] = k
	return k
}

// add adds a sample to an average over the given number of samples.
func (a *average) add(sample, window float64) {
	a.weight = min(a.weight+1, window)
	a.mean += (sample - a.mean) / a.weight
}

// decayIdle lowers the weight for the time that has passed without samples.
func (a *average) decayIdle(now time.Time) {
	from := a.newest.Add(idleAfter)
	if a.decayed.After(from) {
		from = a.decayed
	}
	if !now.After(from) {
		return
	}
	a.weight *= math.Exp(-float64(now.Sub(from)) / float64(idleDecay))
	a.decayed = now
}

// countOutlier counts a sample that lies beyond outlierBound by the given excess; one without excess ends the row.
func (a *average) countOutlier(excess float64) {
	switch {
	case excess > 0:
		a.outliers = max(a.outliers, 0) + 1
	case excess < 0:
		a.outliers = min(a.outliers, 0) - 1
	default:
		a.outliers = 0
	}
}

// estimate returns the average of a kind blended with speed 1.
func (a *average) estimate() float64 { return blend(a, 0) }

// blend returns the average of a and the prior, weighted by the number of samples.
func blend(a *average, prior float64) float64 {
	return (a.weight*a.mean + priorSamples*prior) / (a.weight + priorSamples)
}

func bounded(x, bound float64) float64 { return min(max(x, -bound), bound) }
