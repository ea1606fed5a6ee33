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

type testPlugin struct {
	name      string
	calls     *[]string
	failStart bool
}

func (p *testPlugin) Greet() string { return p.name }

func (p *testPlugin) Provision(c *Context) error {
	*p.calls = append(*p.calls, "provision "+p.name)
	if p.name == "provider" {
		Bind[greeter](c, p)
		return nil
	}
	_, err := Use[greeter](c)
	return err
}

func (p *testPlugin) Start() error {
	*p.calls = append(*p.calls, "start "+p.name)
	if p.failStart {
		return errors.New("cannot start")
	}
	return nil
}

func (p *testPlugin) Stop() error {
	*p.calls = append(*p.calls, "stop "+p.name)
	return nil
}

func providerAndUser(calls *[]string, failStart bool) []Definition {
	return []Definition{
		{ID: "a.user", Needs: []Port{PortOf[greeter]()}, New: func() Plugin { return &testPlugin{name: "user", calls: calls, failStart: failStart} }},
		{ID: "b.provider", Provides: []Port{PortOf[greeter]()}, New: func() Plugin { return &testPlugin{name: "provider", calls: calls} }},
	}
}

func TestHostStartsProvidersFirstAndStopsThemLast(t *testing.T) {
	is := is.New(t)
	var calls []string
	host, err := NewHost(settings.Settings{}, slog.New(slog.DiscardHandler), providerAndUser(&calls, false))
	is.NoErr(err)
	is.NoErr(host.Start())
	is.NoErr(host.Stop())
	is.Equal(strings.Join(calls, ", "),
		"provision provider, provision user, start provider, start user, stop user, stop provider")
}

func TestHostStopsStartedPluginsWhenStartFails(t *testing.T) {
	is := is.New(t)
	var calls []string
	host, err := NewHost(settings.Settings{}, slog.New(slog.DiscardHandler), providerAndUser(&calls, true))
	is.NoErr(err)
	is.True(host.Start() != nil)
	is.Equal(calls[len(calls)-1], "stop provider")
}

func TestStartOrderRejectsMissingProviderAndCycle(t *testing.T) {
	is := is.New(t)
	port := PortOf[greeter]()
	_, err := startOrder([]Definition{{ID: "x", Needs: []Port{port}}})
	is.True(err != nil)
	_, err = startOrder([]Definition{{ID: "x", Needs: []Port{port}, Provides: []Port{port}}})
	is.True(err != nil)
}

func TestNewHostRejectsUnknownPluginInSettings(t *testing.T) {
	is := is.New(t)
	var calls []string
	s, err := settings.Parse([]byte(`{"node":"a","data_centre":"d","listen":{"callers":"127.0.0.1:1","endpoints":"127.0.0.1:2",
		"operators":"127.0.0.1:3","peers":"127.0.0.1:4"},"members":[{"node":"a","data_centre":"d","peers":"127.0.0.1:4",
		"endpoints":"127.0.0.1:2"}],"plugins":{"placement.none":{}}}`))
	is.NoErr(err)
	_, err = NewHost(s, slog.New(slog.DiscardHandler), providerAndUser(&calls, false))
	is.True(strings.Contains(err.Error(), "plugins.placement.none"))
}
