package leastwait

import (
	"math"
	"math/rand/v2"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

const (
	// maxRemnantTries is how many endpoints with a remnant of resources Pick considers for a task.
	maxRemnantTries = 64

	// maxUndisturbedTries is how many endpoints of a bucket Pick considers for a task that others may disturb. Where all of them do,
	// few endpoints are left that don't, and a search through thousands would cost more than it gains.
	maxUndisturbedTries = 64

	// Endpoints are grouped by speed. A group's endpoints take levelStep times as long as those of the next faster group; the
	// group of index typicalLevel has the endpoints of average speed.
	levelStep    = 1.25
	speedLevels  = 16
	typicalLevel = 6

	// fastReserveDivisor gives the share of the fast slots that is reserved for tasks which need them: one part in this many. With a
	// third of them reserved, more short tasks are late at slow endpoints than long tasks end in time.
	fastReserveDivisor = 12
	// waitShareDivisor gives the share of the slots freed at faster endpoints that goes to the tasks which wait for them: one part in
	// this many. The others go to tasks that come later and go before them in the queue.
	waitShareDivisor = 2
)

// levelFactors holds the run time at the endpoints of each speed level over that at a typical endpoint.
var levelFactors = func() (factors [speedLevels]float64) {
	for i := range factors {
		factors[i] = math.Pow(levelStep, float64(i-typicalLevel))
	}
	return factors
}()

// placer groups the endpoints by their speed, and each group by the number of free slots, so that the cost of an update
// or a pick does not grow with the number of endpoints.
type placer struct {
	random  *rand.Rand
	entries map[model.EndpointID]*entry
	levels  [speedLevels]level
	first   int // Index of the first level with endpoints.
	end     int // Index after the last level with endpoints.
}

// level holds the endpoints of about the same speed.
type level struct {
	endpoints int
	buckets   [][]*entry // Indexed by the number of free slots; 0 for endpoints with a remnant.
	highest   int        // Index of the highest bucket that may hold an endpoint.
	slots     int        // Slots of all endpoints of the level.
	free      int        // Those of them that are free.
}

// noBucket is the bucket of an endpoint that has neither a free slot nor a remnant.
const noBucket = -1

// entry is an endpoint and its place in the buckets.
type entry struct {
	load     port.EndpointLoad
	level    int
	bucket   int // Index of the bucket, or noBucket.
	position int // Index in the bucket.
}

func newPlacer(seed uint64) *placer {
	return &placer{random: rand.New(rand.NewPCG(seed, 0)), entries: make(map[model.EndpointID]*entry)}
}

// Update adds an endpoint or moves it to the group of its new speed and the bucket of its new number of free slots.
func (p *placer) Update(load port.EndpointLoad) {
	e, ok := p.entries[load.ID]
	if !ok {
		e = &entry{bucket: noBucket, level: typicalLevel}
		p.entries[load.ID] = e
		p.countEndpoint(e.level, 1)
	}
	p.levels[e.level].remove(e)
	if load.Factor != e.load.Factor {
		p.changeLevel(e, levelOf(load.Factor))
	}
	e.load = load
	p.levels[e.level].add(e)
}

// changeLevel sets the level of an endpoint that has been removed from its former one.
func (p *placer) changeLevel(e *entry, to int) {
	if to == e.level {
		return
	}
	p.countEndpoint(e.level, -1)
	p.countEndpoint(to, 1)
	e.level = to
}

// countEndpoint changes the number of endpoints of a level by the given difference.
func (p *placer) countEndpoint(index, difference int) {
	p.levels[index].endpoints += difference
	p.first, p.end = speedLevels, 0
	for i := range p.levels {
		if p.levels[i].endpoints > 0 {
			p.first, p.end = min(p.first, i), i+1
		}
	}
}

// levelOf returns the speed level of an endpoint; one whose speed is not known counts as typical.
func levelOf(factor float64) int {
	if factor <= 0 {
		return typicalLevel
	}
	steps := math.Round(math.Log(factor) / math.Log(levelStep))
	return typicalLevel + int(min(max(steps, -typicalLevel), speedLevels-1-typicalLevel))
}

// Remove removes the endpoint.
func (p *placer) Remove(id model.EndpointID) {
	if e, ok := p.entries[id]; ok {
		p.levels[e.level].remove(e)
		p.countEndpoint(e.level, -1)
		delete(p.entries, id)
	}
}

// Pick returns an endpoint that can run the task, or false when none that can run it has a free slot, or when the task is to wait
// for a faster one.
//
// A task goes to an endpoint on which it is expected to end within its objective: to one of the fastest while they have many free
// slots, otherwise to one of the slowest that suit. If none of them has room, it waits for one as long as it is expected
// to end in time there, and goes to the fastest with room after that. Endpoints where others disturb the task are picked only if no
// other suits.
func (p *placer) Pick(request port.PickRequest) (port.Choice, bool) {
	suitableEnd := p.suitableEnd(&request)
	if request.Disturbed != nil {
		if choice, ok := p.pickSuitable(suitableEnd, &request); ok {
			return choice, true
		}
		request.Disturbed = nil
	}
	if choice, ok := p.pickSuitable(suitableEnd, &request); ok {
		return choice, true
	}
	if waits := p.waitForFaster(&request, suitableEnd); waits > 0 {
		return port.Choice{Waits: waits}, false
	}
	return p.pickFastest(suitableEnd, p.end, &request)
}

// pickSuitable picks an endpoint of the levels before the one of index end.
func (p *placer) pickSuitable(end int, request *port.PickRequest) (port.Choice, bool) {
	if !p.fastSlotsScarce() {
		return p.pickFastest(p.first, end, request)
	}
	for i := end - 1; i >= p.first; i-- {
		if choice, ok := p.pickFromLevel(i, request); ok {
			return choice, true
		}
	}
	return port.Choice{}, false
}

// pickFastest picks an endpoint of the fastest level with room, among those with indices from first to below end.
func (p *placer) pickFastest(first, end int, request *port.PickRequest) (port.Choice, bool) {
	for i := first; i < end; i++ {
		if choice, ok := p.pickFromLevel(i, request); ok {
			return choice, true
		}
	}
	return port.Choice{}, false
}

// suitableEnd returns the index after the slowest level at whose endpoints the task is expected to end within its objective.
func (p *placer) suitableEnd(request *port.PickRequest) int {
	if request.Left == 0 {
		return p.end
	}
	for i := p.first; i < p.end; i++ {
		if levelFactors[i]*float64(request.Run) > float64(request.Left) {
			return i
		}
	}
	return p.end
}

// fastSlotsScarce reports whether few of the slots at endpoints that are faster than typical ones are free.
func (p *placer) fastSlotsScarce() bool {
	slots, free := 0, 0
	for i := p.first; i < min(p.end, typicalLevel); i++ {
		slots += p.levels[i].slots
		free += p.levels[i].free
	}
	return fastReserveDivisor*free < slots
}

// waitForFaster returns how long the task may wait for a slot at an endpoint of the levels before the one of index end and still be
// expected to end there in time; 0 when it would have to wait for longer, also because of the tasks that wait before it.
// Running tasks are taken to be as long as this one.
func (p *placer) waitForFaster(request *port.PickRequest, end int) time.Duration {
	if end == p.end {
		return 0 // It suits all endpoints.
	}
	slots, fastest := 0, end
	for i := end - 1; i >= p.first; i-- {
		if p.levels[i].slots > 0 {
			slots += p.levels[i].slots
			fastest = i
		}
	}
	if slots == 0 {
		return 0
	}
	run := levelFactors[fastest] * float64(request.Run)
	expected := waitShareDivisor * run * float64(request.Ahead+1) / float64(slots)
	return max(request.Left-time.Duration(run+expected), 0)
}

// pickFromLevel picks an endpoint of a speed level. A task that fits into a remnant goes there and leaves the free slots to tasks
// that need more; others go to a random endpoint among those with the most free slots.
func (p *placer) pickFromLevel(index int, request *port.PickRequest) (port.Choice, bool) {
	l := &p.levels[index]
	if len(l.buckets) > 0 {
		if e := p.pickFromBucket(l.buckets[0], request, maxRemnantTries); e != nil {
			return port.Choice{Endpoint: e.load.ID, Why: "fits into what others leave"}, true
		}
	}
	for free := l.highest; free > 0; free-- {
		if e := p.pickFromBucket(l.buckets[free], request, tries(request, len(l.buckets[free]))); e != nil {
			return port.Choice{Endpoint: e.load.ID, Why: "most free slots"}, true
		}
	}
	return port.Choice{}, false
}

// tries returns how many endpoints of a bucket Pick considers for a task.
func tries(request *port.PickRequest, bucket int) int {
	if request.Disturbed != nil {
		return maxUndisturbedTries
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

// remove takes the endpoint out of the level and of its bucket, if it is in one; the bucket's last endpoint
// takes its position.
func (l *level) remove(e *entry) {
	l.slots -= e.load.Slots
	l.free -= max(e.load.Free, 0)
	if e.bucket == noBucket {
		return
	}
	bucket := l.buckets[e.bucket]
	last := bucket[len(bucket)-1]
	bucket[e.position] = last
	last.position = e.position
	bucket[len(bucket)-1] = nil
	l.buckets[e.bucket] = bucket[:len(bucket)-1]
	e.bucket = noBucket
	for l.highest > 0 && len(l.buckets[l.highest]) == 0 {
		l.highest--
	}
}

// add adds the endpoint to the level, and to its bucket if it has a free slot or a remnant.
func (l *level) add(e *entry) {
	l.slots += e.load.Slots
	l.free += max(e.load.Free, 0)
	if e.load.Free <= 0 && !e.load.Remnant {
		return
	}
	e.bucket = max(e.load.Free, 0)
	for len(l.buckets) <= e.bucket {
		l.buckets = append(l.buckets, nil)
	}
	e.position = len(l.buckets[e.bucket])
	l.buckets[e.bucket] = append(l.buckets[e.bucket], e)
	l.highest = max(l.highest, e.bucket)
}
