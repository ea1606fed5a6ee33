package trace

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func workload(seed uint64) Workload {
	return Workload{
		Service: "finder", Seed: seed, Length: time.Minute, Slots: 400, Load: 0.5, Teams: 4, Greedy: 10,
		Deadline: 3 * time.Second, Stragglers: 0.01, DeclaredError: 10,
		CancelWaves: []CancelWave{{At: 10 * time.Second, Length: time.Second, Share: 0.5}},
	}
}

func TestGenerateIsDeterministicForASeed(t *testing.T) {
	is := is.New(t)
	is.Equal(Generate(workload(1)), Generate(workload(1)))
	is.True(len(Generate(workload(1))) != len(Generate(workload(2))))
}

func TestGenerateOffersRequestedLoad(t *testing.T) {
	is := is.New(t)
	w := workload(1)
	w.Length = 10 * time.Minute
	var work time.Duration
	for _, job := range Generate(w) {
		is.NoErr(job.validate())
		work += job.Work()
	}
	load := work.Seconds() / w.Length.Seconds() / float64(w.Slots)
	is.True(load > 0.45 && load < 0.55)
}

func TestGenerateCancelsOnlyDuringWaves(t *testing.T) {
	is := is.New(t)
	cancelled := 0
	for _, job := range Generate(workload(1)) {
		if job.CancelMS == 0 {
			continue
		}
		cancelled++
		is.True(job.At() >= 10*time.Second && job.At() < 11*time.Second)
	}
	is.True(cancelled > 0)
}

func TestReadReturnsWrittenJobs(t *testing.T) {
	is := is.New(t)
	jobs := Generate(workload(3))
	var file bytes.Buffer
	is.NoErr(Write(&file, jobs))
	got, err := Read(&file)
	is.NoErr(err)
	is.Equal(got, jobs)
}

func TestReadErrorNamesInvalidLine(t *testing.T) {
	is := is.New(t)
	valid := `{"at_ms":1,"service":"s","team":"t","run_ms":[1]}`
	for _, invalid := range []string{`{`, `{"at_ms":-1,"service":"s","team":"t","run_ms":[1]}`, `{"service":"s","team":"t","run_ms":[]}`} {
		_, err := Read(strings.NewReader(valid + "\n" + invalid + "\n"))
		is.True(err != nil && strings.Contains(err.Error(), "line 2"))
	}
}
