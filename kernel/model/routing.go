package model

import (
	"strings"
	"time"
)

// Routing is the routing that operators have declared: which requests of callers go to which
// service. It is replaced as a whole; the highest version is in force.
type Routing struct {
	Version  uint64 // Given by the operator; 0 while nothing is declared.
	Routes   []Route
	Services []ServiceID // That routes may name.
	MaxBody  int64       // Bytes of a caller's request; 0 is the product's own limit.

	// Document is the declaration as it was sent. It is given back to who reads it.
	Document []byte
}

// Route sends the requests for a host and path to a service.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string
	Service     ServiceID
	Timeout     time.Duration // Longest time for a request.
	MaxFailures int           // Runs of a task that may fail before its job does.
	Objective   Objective     // Latency objective of the route's jobs.
}

// Match returns the route of a request: of those for its host, the one with the longest prefix that
// its path begins with.
func (r *Routing) Match(host, path string) (route Route, ok bool) {
	for i := range r.Routes {
		candidate := &r.Routes[i]
		if candidate.Host != host || !strings.HasPrefix(path, candidate.PathPrefix) {
			continue
		}
		if !ok || len(candidate.PathPrefix) > len(route.PathPrefix) {
			route, ok = *candidate, true
		}
	}
	return route, ok
}

// Fault returns what makes the declaration invalid, or "".
func (r *Routing) Fault() string {
	if r.Version == 0 {
		return "version: must be above 0"
	}
	services := make(map[ServiceID]bool, len(r.Services))
	for _, id := range r.Services {
		if id == "" || services[id] {
			return "services: a name is missing or there twice: " + string(id)
		}
		services[id] = true
	}
	places := make(map[[2]string]string, len(r.Routes))
	for _, route := range r.Routes {
		place := [2]string{route.Host, route.PathPrefix}
		other, taken := places[place]
		switch {
		case !services[route.Service]:
			return "route " + route.Name + ": names an unknown service"
		case taken:
			return "route " + route.Name + ": has the host and prefix of route " + other
		case route.Timeout <= 0:
			return "route " + route.Name + ": its time limit must be above 0"
		case route.Host == "" || !strings.HasPrefix(route.PathPrefix, "/"):
			return "route " + route.Name + ": must have a host and a prefix that begins with a slash"
		}
		places[place] = route.Name
	}
	return ""
}
