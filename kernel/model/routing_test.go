package model

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func routingOf(routes ...Route) Routing {
	r := Routing{Version: 1, Services: []ServiceID{"finder"}}
	for _, route := range routes {
		route.Service, route.Timeout = "finder", time.Second
		r.Routes = append(r.Routes, route)
	}
	return r
}

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	is := is.New(t)
	r := routingOf(
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

func TestFaultReportsInvalidRouting(t *testing.T) {
	valid := func() Routing { return routingOf(Route{Name: "r", Host: "a", PathPrefix: "/x/"}) }
	cases := map[string]func(*Routing){
		"no version":        func(r *Routing) { r.Version = 0 },
		"unknown service":   func(r *Routing) { r.Routes[0].Service = "none" },
		"no timeout":        func(r *Routing) { r.Routes[0].Timeout = 0 },
		"duplicate prefix":  func(r *Routing) { r.Routes = append(r.Routes, r.Routes[0]) },
		"no host":           func(r *Routing) { r.Routes[0].Host = "" },
		"no prefix":         func(r *Routing) { r.Routes[0].PathPrefix = "" },
		"duplicate service": func(r *Routing) { r.Services = append(r.Services, r.Services[0]) },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := valid()
			is.Equal(r.Fault(), "")
			invalidate(&r)
			is.True(r.Fault() != "")
		})
	}
}
