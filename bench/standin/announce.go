package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	stateServing       = "serving"
	stateLeaving       = "leaving"
	announceRetryDelay = 200 * time.Millisecond // Wait after a failed announcement.
	announceTimeout    = 1 * time.Second
)

// Connections and resources that every stand-in announces.
const (
	announcedConnections = 60
	announcedCores       = 16
	announcedMemoryMB    = 65536
)

// announcement is the body of an announcement.
type announcement struct {
	Endpoint     string   `json:"endpoint"`
	Service      string   `json:"service"`
	Worker       string   `json:"worker"`
	Rack         string   `json:"rack"`
	DataCentre   string   `json:"data_centre"`
	Address      string   `json:"address"`
	Slots        int      `json:"slots"`
	Connections  int      `json:"connections"`
	Cores        int      `json:"cores"`
	MemoryMB     int      `json:"memory_mb"`
	Accelerators int      `json:"accelerators"`
	State        string   `json:"state"`
	Running      []string `json:"running"`
}

// announceReply is the reply to an announcement.
type announceReply struct {
	Owner   string `json:"owner"`    // Address for the next announcement: that of the pool's owner.
	EveryMS int64  `json:"every_ms"` // Interval between announcements.
}

// announceLoop announces the stand-in to its owner, or to one entry VM after another while the owner is
// unknown or does not answer, until the stand-in is closed. While the stand-in is paused, it sends none.
func (e *Endpoint) announceLoop() {
	owner := ""
	for i := 0; e.awaitResume(); i++ {
		target := owner
		if target == "" {
			target = e.config.Entries[i%len(e.config.Entries)]
		}
		next, err := e.announceTo(target)
		wait := time.Duration(next.EveryMS) * time.Millisecond
		if err != nil {
			wait = announceRetryDelay
		} else {
			e.closeAnnounced()
		}
		owner = next.Owner
		if !e.sleep(wait) {
			return
		}
	}
}

// closeAnnounced closes the channel announced at the first call.
func (e *Endpoint) closeAnnounced() {
	select {
	case <-e.announced:
	default:
		close(e.announced)
	}
}

// sleep waits until the next announcement is due, which Leave can bring forward. It returns false when
// the stand-in is closed.
func (e *Endpoint) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.announceNow:
		return true
	case <-e.baseCtx.Done():
		return false
	}
}

// announceTo sends an announcement to one entry VM.
func (e *Endpoint) announceTo(target string) (reply announceReply, err error) {
	body, err := json.Marshal(e.announcement())
	if err != nil {
		return announceReply{}, err
	}
	ctx, cancel := context.WithTimeout(e.baseCtx, announceTimeout)
	defer cancel()
	url := "http://" + target + "/v1/endpoints/announce"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return announceReply{}, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return announceReply{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return announceReply{}, errors.Newf("announce: %s", response.Status)
	}
	err = json.NewDecoder(response.Body).Decode(&reply)
	return reply, err
}

// announcement returns an announcement of the present state.
func (e *Endpoint) announcement() announcement {
	address := e.config.Advertise
	if address == "" {
		address = e.Address()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return announcement{
		Endpoint: e.config.Endpoint, Service: e.config.Service, Worker: e.config.Worker,
		Rack: e.config.Rack, DataCentre: e.config.DataCentre, Address: address,
		Slots: e.config.Slots, Connections: announcedConnections, Cores: announcedCores, MemoryMB: announcedMemoryMB,
		State: e.state, Running: e.tasks.runningIDs(),
	}
}
