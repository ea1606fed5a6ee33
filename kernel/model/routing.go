package model

import (
	"strings"
	"time"
)

// Routing is the routing declared by operators: which requests of callers go to which service. It is
// replaced as a whole; the highest version is in force.
type Routing struct {
	Version  uint64 // Given by the operator; 0 while nothing is declared.
	Routes   []Route
	Services []ServiceID // Services that routes may send requests to.
	MaxBody  int64       // Largest body of a caller's request in bytes; 0 means the product's own limit.

	// Document is the declaration as the operator sent it. It is returned unchanged to readers.
	Document []byte
}

// Route sends the requests for a host and a path prefix to a service.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string
	Service     ServiceID
	Timeout     time.Duration // Time that a request may take when its caller states none.
	MaxFailures int           // Number of runs of a task that may fail before its job fails.
	Objective   Objective     // Latency objective of the route's jobs.
	Priority    int           // From 0, the most urgent, to MaxPriority.
}

// MaxPriority is the priority of the least urgent jobs.
const MaxPriority = 4

// ClampPriority returns the valid priority that is nearest to the given number.
func ClampPriority(priority int) int { return min(max(priority, 0), MaxPriority) }

// Match returns the route of a request: the one for its host whose prefix is the longest that the
// path begins with.
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

// Fault returns the first reason for which the declaration is invalid, or "" when it is valid.
func (r *Routing) Fault() string {
	if r.Version == 0 {
		return "version: must be above 0"
	}
	services := make(map[ServiceID]bool, len(r.Services))
	for _, id := range r.Services {
		if id == "" || services[id] {
			return "services: a name is missing or duplicate: " + string(id)
		}
		services[id] = true
	}
	routeNames := make(map[[2]string]string, len(r.Routes))
	for _, route := range r.Routes {
		hostAndPrefix := [2]string{route.Host, route.PathPrefix}
		other, duplicate := routeNames[hostAndPrefix]
		switch {
		case !services[route.Service]:
			return "route " + route.Name + ": names an unknown service"
		case duplicate:
			return "route " + route.Name + ": has the same host and prefix as route " + other
		case route.Timeout <= 0:
			return "route " + route.Name + ": its timeout must be above 0"
		case route.Host == "" || !strings.HasPrefix(route.PathPrefix, "/"):
			return "route " + route.Name + ": must have a host and a prefix that begins with a slash"
		}
		routeNames[hostAndPrefix] = route.Name
	}
	return ""
}
