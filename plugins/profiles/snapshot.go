package profiles

import (
	"context"
	"maps"
	"slices"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/occupancy"
	"redwingpulley/plugins/profiles/register"
	"redwingpulley/plugins/profiles/wire"
)

const (
	// reportTimeout is the longest wait for what the holders of places say of them.
	reportTimeout = time.Second
	// reportRounds is the number of rounds of inquiries for a snapshot: the replies to one may name further holders.
	reportRounds = 3
)

// Places returns the places of the replicas. It asks their holders what each does.
func (p *Profiles) Places(ctx context.Context) port.ReplicaPlaces {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reports := p.requestReports(ctx)
	return p.viewPlaces(time.Now()).Snapshot(p.self, p.takeoverEnabled, reports)
}

// inquiry asks a member for its report of a place; the place is "" if the member only has to say which stores it knows.
type inquiry struct{ place, member model.NodeID }

// requestReports asks all live holders, and returns their reports by place. This member may not know yet of a holder that has
// taken over a place, so it asks the other live members with disks as well which stores they know, and then the holders
// that it has learned of.
func (p *Profiles) requestReports(ctx context.Context) map[model.NodeID]occupancy.Report {
	reports, asked := make(map[model.NodeID]occupancy.Report), make(map[inquiry]bool)
	for range reportRounds {
		var next []inquiry
		for _, i := range p.inquiries() {
			if !asked[i] {
				next = append(next, i)
				asked[i] = true
				delete(reports, i.place) // The report of a former holder.
			}
		}
		maps.Copy(reports, p.requestAll(ctx, next))
	}
	return reports
}

// inquiries returns what live members have to be asked.
func (p *Profiles) inquiries() []inquiry {
	var all []inquiry
	for _, n := range p.membership.Alive() {
		identity := p.identityOf(n.ID)
		switch {
		case slices.Contains(p.replicas(), identity):
			all = append(all, inquiry{identity, n.ID})
		case n.Disk && n.ID != p.self:
			all = append(all, inquiry{"", n.ID})
		}
	}
	return all
}

// requestAll asks members at the same time, and returns the reports that arrive in time by place.
func (p *Profiles) requestAll(ctx context.Context, inquiries []inquiry) map[model.NodeID]occupancy.Report {
	type answer struct {
		place  model.NodeID
		report *occupancy.Report
	}
	answers := make(chan answer, len(inquiries))
	for _, i := range inquiries {
		go func() { answers <- answer{i.place, p.requestReport(ctx, i)} }()
	}
	reports := make(map[model.NodeID]occupancy.Report)
	for range inquiries {
		if a := <-answers; a.report != nil {
			reports[a.place] = *a.report
		}
	}
	return reports
}

// requestReport asks a member, which may be this one, what it does with a place, and learns the stores that it knows. It
// returns nil without a report.
func (p *Profiles) requestReport(ctx context.Context, i inquiry) *occupancy.Report {
	if i.member == p.self {
		return p.reportPlace(i.place)
	}
	var reply wire.PlaceReport
	if p.peers.Call(ctx, i.member, methodPlace, wire.PlaceRequest{Place: i.place}, &reply) != port.Delivered {
		return nil
	}
	if reply.Stores.Kind == register.Chosen {
		p.handleMessage(i.member, reply.Stores)
	}
	return reply.Decode()
}

// answerPlace answers a member that asks what this one does with a place.
func (p *Profiles) answerPlace(request wire.PlaceRequest) wire.PlaceReport {
	p.core.Lock()
	if p.core.machine == nil {
		p.core.Unlock()
		report := occupancy.Report{State: port.PlaceLearner, Wait: port.PlaceWait{Kind: port.WaitGroup}}
		return wire.EncodePlaceReport(&report, wire.Message{})
	}
	stores := p.core.machine.StoresMessage()
	p.core.Unlock()
	return wire.EncodePlaceReport(p.reportPlace(request.Place), p.encode(p.ownPlace(), stores))
}

// reportPlace returns what this member does with a place; nil when it does not have it.
func (p *Profiles) reportPlace(place model.NodeID) *occupancy.Report {
	p.core.Lock()
	defer p.core.Unlock()
	if p.core.machine == nil || p.place != place {
		return nil
	}
	standing := p.core.machine.Standing()
	if !standing.Replica {
		return nil
	}
	report := occupancy.OwnReport(standing, p.core.heldSince, p.voteSyncedLocked())
	return &report
}
