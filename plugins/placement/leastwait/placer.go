package leastwait

import (
	"math/rand/v2"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// maxCompared bounds the endpoints that can run a task and are compared for it.
const maxCompared = 64

// placer keeps the endpoints in buckets by their number of free slots, so that the cost of an update
// or a pick does not grow with the number of endpoints. Bucket 0 holds those with a remnant of resources.
type placer struct {
	random  *rand.Rand
	entries map[model.EndpointID]*entry
	buckets [][]*entry // Indexed by the number of free slots.
	highest int        // Index of the highest bucket that may hold an endpoint.
}

const noBucket = -1

// entry is an endpoint and its place in the buckets.
type entry struct {
	load     port.EndpointLoad
	bucket   int // noBucket while the endpoint has no free slot.
	position int // Index in the bucket.
}

func newPlacer(seed uint64) *placer {
	return &placer{random: rand.New(rand.NewPCG(seed, 0)), entries: make(map[model.EndpointID]*entry)}
}

// Update adds an endpoint or moves it to the bucket of its new number of free slots.
func (p *placer) Update(load port.EndpointLoad) {
	e, ok := p.entries[load.ID]
	if !ok {
		e = &entry{bucket: noBucket}
		p.entries[load.ID] = e
	}
	p.removeFromBucket(e)
	e.load = load
	p.addToBucket(e)
}

// Remove removes the endpoint.
func (p *placer) Remove(id model.EndpointID) {
	if e, ok := p.entries[id]; ok {
		p.removeFromBucket(e)
		delete(p.entries, id)
	}
}

// Pick returns an endpoint that can run the task, or false when none that can run it has a free slot. A task without needs
// goes to a random endpoint among those with the most free slots, another one to an endpoint of which it leaves the least.
func (p *placer) Pick(request port.PickRequest) (port.Choice, bool) {
	if request.Needs == (model.Needs{}) {
		return p.pickMostFree(&request)
	}
	return p.pickBestFit(&request)
}

// pickMostFree picks a random endpoint among those with the most free slots.
func (p *placer) pickMostFree(request *port.PickRequest) (port.Choice, bool) {
	for free := p.highest; free > 0; free-- {
		if e := p.tightest(p.buckets[free], request, 1); e != nil {
			return port.Choice{Endpoint: e.load.ID, Why: "most free slots"}, true
		}
	}
	return port.Choice{}, false
}

// pickBestFit picks an endpoint on which the task leaves the least, so that what is left on the others suffices for tasks
// that need more. Endpoints with fewer free slots have less left.
func (p *placer) pickBestFit(request *port.PickRequest) (port.Choice, bool) {
	for _, bucket := range p.buckets {
		if e := p.tightest(bucket, request, maxCompared); e != nil {
			return port.Choice{Endpoint: e.load.ID, Why: "leaves the least there"}, true
		}
	}
	return port.Choice{}, false
}

// tightest returns the endpoint with the least cores left among the first of the bucket that can run the task, starting at a
// random one and comparing the given number, or nil if none can.
func (p *placer) tightest(bucket []*entry, request *port.PickRequest, compared int) (best *entry) {
	if len(bucket) == 0 {
		return nil
	}
	offset := p.random.IntN(len(bucket))
	for i := range bucket {
		e := bucket[(offset+i)%len(bucket)]
		if !request.Needs.FitsIn(e.load.Left) || e.load.ID == request.Avoid {
			continue
		}
		if best == nil || e.load.Left.MilliCores < best.load.Left.MilliCores {
			best = e
		}
		if compared--; compared == 0 {
			break
		}
	}
	return best
}

// removeFromBucket takes the endpoint out of its bucket, if it is in one; the bucket's last endpoint
// takes its position.
func (p *placer) removeFromBucket(e *entry) {
	if e.bucket == noBucket {
		return
	}
	bucket := p.buckets[e.bucket]
	last := bucket[len(bucket)-1]
	bucket[e.position] = last
	last.position = e.position
	bucket[len(bucket)-1] = nil
	p.buckets[e.bucket] = bucket[:len(bucket)-1]
	e.bucket = noBucket
	for p.highest > 0 && len(p.buckets[p.highest]) == 0 {
		p.highest--
	}
}

// addToBucket puts the endpoint into the bucket of its free slots, if it has any.
func (p *placer) addToBucket(e *entry) {
	if e.load.Free <= 0 && !e.load.Remnant {
		return
	}
	e.bucket = max(e.load.Free, 0)
	for len(p.buckets) <= e.bucket {
		p.buckets = append(p.buckets, nil)
	}
	e.position = len(p.buckets[e.bucket])
	p.buckets[e.bucket] = append(p.buckets[e.bucket], e)
	p.highest = max(p.highest, e.bucket)
}
