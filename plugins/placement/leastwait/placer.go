package leastwait

import (
	"math/rand/v2"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// placer keeps endpoints in one bucket for each count of free slots, so that an update and a pick
// cost the same at any number of endpoints.
type placer struct {
	random  *rand.Rand
	known   map[model.EndpointID]*entry
	buckets [][]*entry // By free slots.
	top     int        // The highest bucket that may hold an endpoint.
}

type entry struct {
	load     port.EndpointLoad
	bucket   int // -1 while in none.
	position int
}

func newPlacer(seed uint64) *placer {
	return &placer{random: rand.New(rand.NewPCG(seed, 0)), known: make(map[model.EndpointID]*entry)}
}

// Update moves the endpoint to the bucket of its free slots.
func (p *placer) Update(load port.EndpointLoad) {
	e, ok := p.known[load.ID]
	if !ok {
		e = &entry{bucket: -1}
		p.known[load.ID] = e
	}
	p.take(e)
	e.load = load
	p.put(e)
}

// Remove forgets the endpoint.
func (p *placer) Remove(id model.EndpointID) {
	if e, ok := p.known[id]; ok {
		p.take(e)
		delete(p.known, id)
	}
}

// Pick returns a random one of the endpoints with the most free slots whose worker can run the
// task.
func (p *placer) Pick(request port.PickRequest) (port.Choice, bool) {
	for free := p.top; free > 0; free-- {
		if e := p.pickIn(p.buckets[free], &request); e != nil {
			return port.Choice{Endpoint: e.load.ID, Why: "most free slots"}, true
		}
	}
	return port.Choice{}, false
}

func (p *placer) pickIn(bucket []*entry, request *port.PickRequest) *entry {
	if len(bucket) == 0 {
		return nil
	}
	first := p.random.IntN(len(bucket))
	for i := range bucket {
		e := bucket[(first+i)%len(bucket)]
		if request.Needs.Within(e.load.Left) && e.load.ID != request.Avoid {
			return e
		}
	}
	return nil
}

func (p *placer) take(e *entry) {
	if e.bucket < 0 {
		return
	}
	bucket := p.buckets[e.bucket]
	last := bucket[len(bucket)-1]
	bucket[e.position] = last
	last.position = e.position
	bucket[len(bucket)-1] = nil
	p.buckets[e.bucket] = bucket[:len(bucket)-1]
	e.bucket = -1
	for p.top > 0 && len(p.buckets[p.top]) == 0 {
		p.top--
	}
}

func (p *placer) put(e *entry) {
	if e.load.Free <= 0 {
		return
	}
	for len(p.buckets) <= e.load.Free {
		p.buckets = append(p.buckets, nil)
	}
	e.bucket = e.load.Free
	e.position = len(p.buckets[e.bucket])
	p.buckets[e.bucket] = append(p.buckets[e.bucket], e)
	p.top = max(p.top, e.bucket)
}
