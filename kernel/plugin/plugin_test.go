package plugin

import (
	"log/slog"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"redwingpulley/kernel/settings"
)

type greeter interface{ Greet() string }

type recorder struct {
	name    string
	trail   *[]string
	failing bool
}

func (r *recorder) Greet() string { return r.name }

func (r *recorder) Provision(c *Context) error {
	*r.trail = append(*r.trail, "provision "+r.name)
	if r.name == "provider" {
		Bind[greeter](c, r)
		return nil
	}
	_, err := Use[greeter](c)
	return err
}

func (r *recorder) Start() error {
	*r.trail = append(*r.trail, "start "+r.name)
	if r.failing {
		return errors.New("no")
	}
	return nil
}

func (r *recorder) Stop() error {
	*r.trail = append(*r.trail, "stop "+r.name)
	return nil
}

func pair(trail *[]string, failing bool) []Definition {
	return []Definition{
		{ID: "a.user", Needs: []Port{PortOf[greeter]()}, New: func() Plugin { return &recorder{name: "user", trail: trail, failing: failing} }},
		{ID: "b.provider", Provides: []Port{PortOf[greeter]()}, New: func() Plugin { return &recorder{name: "provider", trail: trail} }},
	}
}

func TestLifeCycleFollowsNeeds(t *testing.T) {
	is := is.New(t)
	var trail []string
	host, err := NewHost(settings.Settings{}, slog.New(slog.DiscardHandler), pair(&trail, false))
	is.NoErr(err)
	is.NoErr(host.Start())
	is.NoErr(host.Stop())
	is.Equal(strings.Join(trail, ", "),
		"provision provider, provision user, start provider, start user, stop user, stop provider")
}

func TestFailedStartStopsWhatWasStarted(t *testing.T) {
	is := is.New(t)
	var trail []string
	host, err := NewHost(settings.Settings{}, slog.New(slog.DiscardHandler), pair(&trail, true))
	is.NoErr(err)
	is.True(host.Start() != nil)
	is.Equal(trail[len(trail)-1], "stop provider")
}

func TestMissingProviderAndCycleAreErrors(t *testing.T) {
	is := is.New(t)
	port := PortOf[greeter]()
	_, err := order([]Definition{{ID: "x", Needs: []Port{port}}})
	is.True(err != nil)
	_, err = order([]Definition{{ID: "x", Needs: []Port{port}, Provides: []Port{port}}})
	is.True(err != nil)
}

func TestUnknownPluginInSettingsIsNamed(t *testing.T) {
	is := is.New(t)
	var trail []string
	s, err := settings.Parse([]byte(`{"node":"a","data_centre":"d","listen":{"callers":"127.0.0.1:1","endpoints":"127.0.0.1:2",
		"operators":"127.0.0.1:3","peers":"127.0.0.1:4"},"members":[{"node":"a","data_centre":"d","peers":"127.0.0.1:4",
		"endpoints":"127.0.0.1:2"}],"plugins":{"placement.none":{}}}`))
	is.NoErr(err)
	_, err = NewHost(s, slog.New(slog.DiscardHandler), pair(&trail, false))
	is.True(strings.Contains(err.Error(), "plugins.placement.none"))
}
