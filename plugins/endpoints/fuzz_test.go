package endpoints

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// newLonePools returns the plug-in of a member without others, whose endpoints answer at once.
func newLonePools() *Pools {
	m := &fakeMember{network: newNetwork(), node: owner1}
	m.setAlive(owner1)
	m.tasks = func(context.Context, port.TaskStart) port.TaskReply {
		return port.TaskReply{State: port.TaskDone, Answer: []byte("1")}
	}
	m.revokeReply = func(model.TaskID) port.RevokeReply { return port.RevokeReply{State: port.TaskRevoked} }
	return newPoolsOn(m)
}

// handleAll has a member handle a message of any kind that decodes.
func handleAll(p *Pools, raw []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	decode(raw, func(a announcement) { p.handleAnnounce(ctx, "peer", a) })
	decode(raw, func(h handover) { p.handleHandover(ctx, "peer", h) })
	decode(raw, func(r loadReport) { p.handleLoads(ctx, "peer", r) })
	decode(raw, func(m updateMessage) { p.handleUpdates(ctx, "peer", m) })
	decode(raw, func(r runRequest) { p.handleRun(ctx, "peer", r) })
	decode(raw, func(r batchRef) { p.handleResume(ctx, "peer", r); p.handleCancel(ctx, "peer", r) })
	p.handleGossipedLoads("peer", raw)
	p.handleGossipedParts("peer", raw)
}

func decode[T any](raw []byte, handle func(T)) {
	var message T
	if json.Unmarshal(raw, &message) == nil {
		handle(message)
	}
}

// oddMessages are messages of peers that no correct member sends.
var oddMessages = []string{
	`{"endpoint":{"ID":"e1","Service":"finder","DataCentre":"sj1","Address":"e1","Slots":8589934592,"State":"serving"}}`,
	`{"endpoint":{"ID":"e1","Service":"finder","DataCentre":"sj1","Address":"e1","Slots":4611686018427387904,"State":"serving"},"parts":99999999}`,
	`{"endpoint":{"ID":"e1","Service":"finder","DataCentre":"sj1","Address":"e1","Slots":1,"State":"serving","Has":{"MilliCores":9223372036854775807}}}`,
	`{"pool":{"Service":"finder","DataCentre":"sj1","Part":-1},"endpoints":[{"ID":"e1","Slots":-1}],"working":true}`,
	`{"loads":[{"s":"finder","d":"sj1","o":"x","v":18446744073709551615,"n":-5,"f":9223372036854775807,"w":9223372036854775807,"r":-1}]}`,
	`{"losses":[{"job":"","index":-1,"endpoint":""},{"job":"k","index":999,"endpoint":"e"}]}`,
	`{"turns":[{"job":"","index":0,"member":"m","valid_ms":1},{"job":"k","index":-1,"member":"m","valid_ms":1},{"job":"k","member":"m","valid_ms":-9223372036854775808}]}`,
	`{"origin":"i","sequence":1,"id":{"Job":"peer.i.1.1.t","Part":0},"pool":{"Service":"finder","DataCentre":"sj1"},"remaining_ms":-9223372036854775808,` +
		`"max_wait_ms":9223372036854775807,"max_failures":-1,"objective":{"stretch":1e308,"useful":1e308,"slack_ns":9223372036854775807},` +
		`"tasks":[{"index":0,"declared_ms":9223372036854775807,"needs":{"MilliCores":4611686018427387904}}]}`,
}

// FuzzPeerMessage has a member handle any message of a peer. For longer:
// go test ./plugins/endpoints -run xxx -fuzz FuzzPeerMessage -fuzztime 2m
func FuzzPeerMessage(f *testing.F) {
	for _, message := range oddMessages {
		f.Add([]byte(message))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		p := newLonePools()
		defer p.Stop()
		p.step(pool1, announcedEvent())
		handleAll(p, raw)
		for _, load := range p.Loads("finder") {
			if load.Slots < 0 || load.Slots > maxReportedSlots || load.Queued < 0 || load.QueuedRun < 0 {
				t.Fatalf("%s gave the load %+v", raw, load)
			}
		}
	})
}

// Guards against issue 28: what one member passed on of an odd entry ended the next one, or made sums wrap around.
func TestOddMessageOfAPeerNamesNoEndpointAndNoLoad(t *testing.T) {
	for _, message := range oddMessages {
		is := is.New(t)
		p := newLonePools()
		handleAll(p, []byte(message))
		is.Equal(len(p.Endpoints()), 0)
		is.Equal(len(p.reportedLoads("finder")), 0)
		is.Equal(p.losses.Len(), 0)
		is.Equal(p.keptElsewhere.Len(), 0)
		p.Stop()
	}
}
