package replay

import (
	"context"
	"log/slog"
	"slices"
	"testing"

	"github.com/matryer/is"

	"redwingpulley/cmd/internal/group"
	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/record/file"
)

func TestRegisterReplayMatchesTheRecord(t *testing.T) {
	is := is.New(t)
	config := group.Config{
		Region: "test", DataCentres: []group.DataCentre{{Name: "dc1", VMs: 3}}, Services: []string{"finder"},
		DataDir: t.TempDir(), Record: t.TempDir(), Log: slog.New(slog.DiscardHandler),
	}
	g, err := group.Start(context.Background(), config)
	is.NoErr(err)
	for i, host := range g.Hosts {
		register, err := plugin.Lookup[port.ProfileRegister](host)
		is.NoErr(err)
		edit := model.ProfileEdit{ID: string(rune('a' + i)), Expect: model.Revision(i), Kind: model.PutProfile, Name: "finder"}
		for result := register.Edit(context.Background(), edit); result.Status != model.EditDone; {
			is.Equal(result.Run, model.NotRun) // Refused until the replicas have begun to vote.
			result = register.Edit(context.Background(), edit)
		}
	}
	is.NoErr(g.Stop())
	for _, own := range g.Settings() {
		lines := slices.DeleteFunc(readRecord(t, config.RecordFile(own.Node)), func(l file.Line) bool { return l.Machine != "register" })
		is.True(len(lines) > 0)
		outcome, err := Run(lines, linkedPolicies(t))
		is.NoErr(err)
		is.NoErr(outcome.Err())
		is.Equal(outcome.Gaps, nil)
	}
}
