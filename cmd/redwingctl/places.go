package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

type placesCommand struct{ operatorFlags }

type placesReply struct {
	Node      model.NodeID   `json:"node"`
	Takeovers bool           `json:"takeovers"`
	Majority  int            `json:"majority"`
	Voters    int            `json:"voters"`
	Places    []placeReply   `json:"places"`
	Spares    []model.NodeID `json:"spares"`
}

type placeReply struct {
	Place  model.NodeID    `json:"place"`
	Holder model.NodeID    `json:"holder"`
	State  port.PlaceState `json:"state"`
	Since  time.Time       `json:"since"`
	AwayMS int64           `json:"away_ms"`
	Wait   placeWaitReply  `json:"wait"`
}

type placeWaitReply struct {
	Kind   port.PlaceWaitKind `json:"kind"`
	Have   int                `json:"have"`
	Need   int                `json:"need"`
	LeftMS int64              `json:"left_ms"`
	By     model.NodeID       `json:"by"`
}

// Run prints the places of the register's replicas as the first entry VM that answers knows them.
func (c *placesCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	var all placesReply
	reply, err := c.get(ctx, "/v1/places", &all)
	if err != nil {
		return err
	}
	return c.show(reply, all.write)
}

func (r placesReply) write(w io.Writer) {
	fmt.Fprintf(w, "seen by\t%s\n", r.Node)
	if len(r.Places) == 0 {
		fmt.Fprintln(w, "the replicas are not known yet")
		return
	}
	fmt.Fprintf(w, "voters\t%d of %d, a change needs %d\n", r.Voters, len(r.Places), r.Majority)
	fmt.Fprintf(w, "spares\t%s\n\n", r.spares())
	fmt.Fprintln(w, "PLACE\tHOLDER\tSTATE\tHELD SINCE\tAWAY\tWAITS FOR")
	for _, p := range r.Places {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", p.Place, p.Holder, p.State, p.since(), p.away(), p.Wait)
	}
}

func (r placesReply) spares() string {
	if len(r.Spares) == 0 {
		return "none"
	}
	names := make([]string, len(r.Spares))
	for i, node := range r.Spares {
		names[i] = string(node)
	}
	return strings.Join(names, ", ")
}

func (p placeReply) since() string {
	if p.Since.IsZero() {
		return "-"
	}
	return p.Since.UTC().Format(time.RFC3339)
}

func (p placeReply) away() string {
	if p.State != port.PlaceAway {
		return "-"
	}
	return seconds(p.AwayMS)
}

func seconds(ms int64) string {
	return fmt.Sprintf("%.1f s", (time.Duration(ms) * time.Millisecond).Seconds())
}

// String returns the wait as a text for operators.
func (w placeWaitReply) String() string {
	switch w.Kind {
	case port.WaitNothing:
		return "-"
	case port.WaitGroup:
		return "the list of the replicas from another member"
	case port.WaitConfirm:
		return fmt.Sprintf("replies that confirm its file: needs %d, has %d", w.Need, w.Have)
	case port.WaitJoin:
		return fmt.Sprintf("replies of voters to its new store: needs %d, has %d", w.Need, w.Have)
	case port.WaitSync:
		return "the write to its disk"
	case port.WaitReturn:
		return "its holder: the settings list the members, so no other one takes the place"
	case port.WaitHolders:
		return fmt.Sprintf("other holders: a takeover needs %d alive, there are %d", w.Need, w.Have)
	case port.WaitSpare:
		return "a live member with a disk and without a place"
	case port.WaitDelay:
		return fmt.Sprintf("takeover in %s", seconds(w.LeftMS))
	case port.WaitVoters:
		return fmt.Sprintf("voters for the takeover by %s: needs %d, has %d", w.By, w.Need, w.Have)
	case port.WaitTakeover:
		return fmt.Sprintf("takeover by %s", w.By)
	}
	return string(w.Kind) // A kind that only newer versions know.
}
