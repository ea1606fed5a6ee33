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
	stateServing    = "serving"
	stateLeaving    = "leaving"
	announceRetry   = 200 * time.Millisecond // After a failed announcement.
	announceTimeout = 1 * time.Second
)

// Resources and connections that a stand-in announces.
const (
	connections = 60
	cores       = 16
	memoryMB    = 65536
)

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

type ownership struct {
	Owner   string `json:"owner"`
	EveryMS int64  `json:"every_ms"`
}

// announce tells the owner, or any entry VM while the owner does not answer, that this stand-in
// is there.
func (e *Endpoint) announce() {
	owner := ""
	for i := 0; e.awaitThaw(); i++ {
		target := owner
		if target == "" {
			target = e.config.Entries[i%len(e.config.Entries)]
		}
		next, err := e.announceTo(target)
		wait := time.Duration(next.EveryMS) * time.Millisecond
		if err != nil {
			wait = announceRetry
		} else {
			e.markAnnounced()
		}
		owner = next.Owner
		if !e.pause(wait) {
			return
		}
	}
}

func (e *Endpoint) markAnnounced() {
	select {
	case <-e.announced:
	default:
		close(e.announced)
	}
}

// pause waits for the next announcement and reports whether the stand-in still runs.
func (e *Endpoint) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.hurry:
		return true
	case <-e.life.Done():
		return false
	}
}

func (e *Endpoint) announceTo(target string) (reply ownership, err error) {
	body, err := json.Marshal(e.announcement())
	if err != nil {
		return ownership{}, err
	}
	ctx, cancel := context.WithTimeout(e.life, announceTimeout)
	defer cancel()
	url := "http://" + target + "/v1/endpoints/announce"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return ownership{}, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return ownership{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return ownership{}, errors.Newf("announce: %s", response.Status)
	}
	err = json.NewDecoder(response.Body).Decode(&reply)
	return reply, err
}

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
		Slots: e.config.Slots, Connections: connections, Cores: cores, MemoryMB: memoryMB,
		State: e.state, Running: e.tasks.running(),
	}
}
