package compare

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/bench/measure"
	"redwingpulley/cmd/internal/group"
)

// smallDeployment returns a deployment that a test can run in a few seconds.
func smallDeployment() Deployment {
	return Deployment{
		Name: "small", Service: "finder", Teams: 2, Between: time.Millisecond, ToClients: time.Millisecond,
		DataCentres: []group.DataCentre{{Name: "dc1", VMs: 1, Endpoints: 25}, {Name: "dc2", VMs: 1, Endpoints: 25}},
	}
}

func TestRunBreaksNoGuarantee(t *testing.T) {
	is := is.New(t)
	x := Experiment{
		Deployments: []Deployment{smallDeployment()}, Scenarios: Scenarios()[:1], Policies: Policies()[:1],
		Length: 2 * time.Second, Seed: 1, Log: slog.New(slog.DiscardHandler),
	}
	rows, err := x.Run(context.Background(), func(Row) {})
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.NoErr(rows[0].Report.CheckGuarantees())
	is.True(rows[0].Service().Ratio.Mean > 0)

	var out bytes.Buffer
	WriteTable(&out, rows)
	WriteVerdict(&out, rows, x.Policies[0].Name)
	is.True(strings.Contains(out.String(), "mean response over ideal at 50%"))

	picture := filepath.Join(t.TempDir(), "picture.png")
	is.NoErr(Plot(picture, rows))
	raw, err := os.ReadFile(picture)
	is.NoErr(err)
	is.True(bytes.HasPrefix(raw, []byte("\x89PNG")))
}

func TestTracesAreEqualForEqualSeeds(t *testing.T) {
	is := is.New(t)
	for _, d := range Deployments() {
		for _, s := range Scenarios() {
			is.Equal(s.Trace(d, time.Second, 7), s.Trace(d, time.Second, 7))
		}
	}
}

func TestVerdictReportsAMissedTarget(t *testing.T) {
	is := is.New(t)
	rows := []Row{{Deployment: "d", Scenario: "load50", Policy: "p", Report: measure.Report{
		Services: []measure.Service{{Ratio: measure.Ratio{Mean: 1.06}}},
	}}}
	var out bytes.Buffer
	WriteVerdict(&out, rows, "p")
	is.True(strings.Contains(out.String(), "MISSED"))
	rows[0].Report.Services[0].Ratio.Mean = 1.05
	out.Reset()
	WriteVerdict(&out, rows, "p")
	is.True(!strings.Contains(out.String(), "MISSED"))
}
