package http

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/dial"
	"redwingpulley/kernel/model"
)

// link is the connections to one member. A new one takes its place when they may have gone silent.
type link struct {
	client  *http.Client
	control *http.Client
	opened  time.Time
}

func newLink() *link {
	return &link{client: newClient(idleTimeout), control: newClient(idleControl), opened: time.Now()}
}

func newClient(idle time.Duration) *http.Client {
	return &http.Client{Transport: newTransport(idle), CheckRedirect: dial.NoRedirect}
}

func (l *link) closeIdle() {
	l.client.CloseIdleConnections()
	l.control.CloseIdleConnections()
}

func newTransport(idle time.Duration) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:       protocols,
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idle,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
}

// client returns the client for a node. With fresh set, it is one whose connections were opened
// after since; calls that failed together share the new one.
func (p *Peers) client(to model.NodeID, method string, since time.Time, fresh bool) *http.Client {
	var old *link
	var current *link
	p.links.Do(to, func(links map[model.NodeID]*link) {
		current = links[to]
		if current == nil || (fresh && !current.opened.After(since)) {
			old, current = current, newLink()
			links[to] = current
		}
	})
	if old != nil {
		old.closeIdle()
	}
	if isControl(method) {
		return current.control
	}
	return current.client
}

// traffic counts messages at the side that asks, so that each is counted once over all members.
type traffic struct {
	requests metrics.Counter
	replies  metrics.Counter
}

// controlMethods are the prefixes of methods that serve no job.
var controlMethods = []string{"membership/", "pools/loads", "pools/announce", "pools/reach", "profiles/", "quota/"}

func isControl(method string) bool {
	for _, prefix := range controlMethods {
		if strings.HasPrefix(method, prefix) {
			return true
		}
	}
	return false
}

func (p *Peers) traffic(method string) traffic {
	if isControl(method) {
		return p.control
	}
	return p.work
}
