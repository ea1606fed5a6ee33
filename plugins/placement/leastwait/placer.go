package leastwait

import (
	"math/rand/v2"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// maxRemnantTries is how many endpoints with a remnant of resources Pick considers for a task.
const maxRemnantTries = 64

// maxSeparateTries is how many endpoints of a bucket Pick considers for a task that others may disturb. Where all of them do,
// few endpoints are left that don't, and a search through thousands would cost more than it gains.
const maxSeparateTries = 64

// placer keeps the endpoints in buckets by their number of free slots, so that the cost of an update
// or a pick does not grow with the number of endpoints.
type placer struct {
	random  *rand.Rand
	entries map[model.EndpointID]*entry
	buckets [][]*entry // Indexed by the number of free slots; 0 for endpoints with a remnant.
	highest int        // Index of the highest bucket that may hold an endpoint.
}

// noBucket is the bucket of an endpoint that has neither a free slot nor a remnant.
const noBucket = -1

// entry is an endpoint and its place in the buckets.
type entry struct {
	load     port.EndpointLoad
	bucket   int // Index of the bucket, or noBucket.
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

// Pick returns an endpoint that can run the task, or false when none that can run it has a free slot. Endpoints where others
// disturb the task are picked only if there is no other.
func (p *placer) Pick(request port.PickRequest) (port.Choice, bool) {
	if request.Disturbed != nil {
		if choice, ok := p.pick(&request); ok {
			return choice, true
		}
		request.Disturbed = nil
	}
	return p.pick(&request)
}

// pick returns an endpoint that can run the task and where no other disturbs it, or false. A task that fits into
// a remnant goes there and leaves the free slots to tasks that need more; others go to a random endpoint among those with
// the most free slots.
func (p *placer) pick(request *port.PickRequest) (port.Choice, bool) {
	if len(p.buckets) > 0 {
		if e := p.pickFromBucket(p.buckets[0], request, maxRemnantTries); e != nil {
			return port.Choice{Endpoint: e.load.ID, Why: "fits into what others leave"}, true
		}
	}
	for free := p.highest; free > 0; free-- {
		if e := p.pickFromBucket(p.buckets[free], request, tries(request, len(p.buckets[free]))); e != nil {
			return port.Choice{Endpoint: e.load.ID, Why: "most free slots"}, true
		}
	}
	return port.Choice{}, false
}

// tries returns how many endpoints of a bucket Pick considers for a task.
func tries(request *port.PickRequest, bucket int) int {
	if request.Disturbed != nil {
		return maxSeparateTries
	}
	return bucket
}

// pickFromBucket returns the first endpoint of the bucket that can run the task, starting at a random
// one, or nil if there is none among the given number.
func (p *placer) pickFromBucket(bucket []*entry, request *port.PickRequest, tries int) *entry {
	if len(bucket) == 0 {
		return nil
	}
	offset := p.random.IntN(len(bucket))
	for i := range min(len(bucket), tries) {
		e := bucket[(offset+i)%len(bucket)]
		if request.Needs.FitsIn(e.load.Left) && e.load.ID != request.Avoid && (request.Disturbed == nil || !request.Disturbed(e.load.ID)) {
			return e
		}
	}
	return nil
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

// addToBucket puts the endpoint into its bucket, if it has a free slot or a remnant.
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
