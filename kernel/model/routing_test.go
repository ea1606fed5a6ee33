package model

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func declared(routes ...Route) Routing {
	r := Routing{Version: 1, Services: []ServiceID{"finder"}}
	for _, route := range routes {
		route.Service, route.Timeout = "finder", time.Second
		r.Routes = append(r.Routes, route)
	}
	return r
}

func TestTheLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	r := declared(
		Route{Name: "short", Host: "a", PathPrefix: "/x/"}, Route{Name: "long", Host: "a", PathPrefix: "/x/y/"},
		Route{Name: "other", Host: "b", PathPrefix: "/x/y/z/"},
	)
	is.Equal(r.Fault(), "")
	for path, name := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y/z/1": "long"} {
		route, ok := r.Match("a", path)
		is.True(ok)
		is.Equal(route.Name, name)
	}
	_, ok := r.Match("a", "/z")
	is.True(!ok)
	_, ok = r.Match("c", "/x/1")
	is.True(!ok)
}

func TestInvalidDeclarationsAreFound(t *testing.T) {
	sound := func() Routing { return declared(Route{Name: "r", Host: "a", PathPrefix: "/x/"}) }
	faults := map[string]func(*Routing){
		"no version":      func(r *Routing) { r.Version = 0 },
		"unknown service": func(r *Routing) { r.Routes[0].Service = "none" },
		"no time limit":   func(r *Routing) { r.Routes[0].Timeout = 0 },
		"same place":      func(r *Routing) { r.Routes = append(r.Routes, r.Routes[0]) },
		"no host":         func(r *Routing) { r.Routes[0].Host = "" },
		"no prefix":       func(r *Routing) { r.Routes[0].PathPrefix = "" },
		"service twice":   func(r *Routing) { r.Services = append(r.Services, r.Services[0]) },
	}
	for name, spoil := range faults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := sound()
			is.Equal(r.Fault(), "")
			spoil(&r)
			is.True(r.Fault() != "")
		})
	}
}
