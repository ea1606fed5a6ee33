// Package jobs is the plug-in that owns the jobs submitted to this member. A job id names the one
// member and incarnation that may start the job's tasks. Starting each task at most once therefore
// needs neither a synchronous disk write nor an extra message.
package jobs

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/plugin"
	"redwingpulley/kernel/port"
	"redwingpulley/kernel/settings"
	"redwingpulley/kernel/shard"
	"redwingpulley/plugins/jobs/retrybudget"
)

// Settings are the settings of this plug-in, in milliseconds.
type Settings struct {
	TicketMS  int64 `json:"ticket_ms"`  // How long after it was minted an id can start a job.
	AnswersMS int64 `json:"answers_ms"` // How long the answers of a job are kept after its end.
}

// Check reports the settings that are out of range.
func (s *Settings) Check(faults *settings.Faults) {
	faults.Require(s.TicketMS > 0, "ticket_ms", "must be above 0")
	faults.Require(s.AnswersMS >= 0, "answers_ms", "must not be negative")
}

const (
	defaultTicketMS  = 600_000
	defaultAnswersMS = 60_000
)

// Jobs is the plug-in. It is created through the plug-in registry.
type Jobs struct {
	settings       Settings
	self           port.Node
	membership     port.Membership
	liveness       port.Liveness
	profiles       port.Profiles
	quotas         port.Quotas
	pools          port.Pools
	judge          port.PoolJudge
	peers          port.Peers
	decisions      port.Decisions
	recorder       port.Recorder
	placements     map[string]port.Placement
	registry       metrics.Registry
	log            *slog.Logger
	responseTimes  metrics.Histogram // Milliseconds from the submission of a job to its end.
	wastedMessages metrics.Counter

	idGenerator  *idGenerator
	jobs         *shard.Map[model.JobID, *entry]
	keys         *shard.Map[string, model.JobID] // Id of the newest job with each key that a caller chose.
	retryBudgets *shard.Map[model.ServiceID, *retrybudget.Budget]
	draining     atomic.Bool
	baseCtx      context.Context
	stop         context.CancelFunc
}

// Provision reads the settings, looks up the ports that the plug-in needs, and binds port.Jobs.
func (j *Jobs) Provision(c *plugin.Context) (err error) {
	j.settings = Settings{TicketMS: defaultTicketMS, AnswersMS: defaultAnswersMS}
	err = errors.Join(
		c.Settings(&j.settings),
		plugin.Need(c, &j.membership),
		plugin.Need(c, &j.liveness),
		plugin.Need(c, &j.profiles),
		plugin.Need(c, &j.quotas),
		plugin.Need(c, &j.pools),
		plugin.Need(c, &j.judge),
		plugin.Need(c, &j.peers),
		plugin.Need(c, &j.decisions),
		plugin.Need(c, &j.recorder),
	)
	if err != nil {
		return err
	}
	j.placements = plugin.UseAll[port.Placement](c)
	j.init(c.Log, c.Metrics)
	plugin.Bind[port.Jobs](c, j)
	plugin.Bind[port.Planner](c, j)
	return nil
}

// init creates the plug-in's state and registers its metrics and its handlers of peer requests.
func (j *Jobs) init(log *slog.Logger, registry metrics.Registry) {
	j.log = log
	j.self = j.membership.Self()
	j.idGenerator = newIDGenerator(j.self.ID, j.self.Incarnation, time.Now())
	j.jobs = shard.New[model.JobID, *entry](shard.DefaultCount)
	j.keys = shard.New[string, model.JobID](shard.DefaultCount)
	j.retryBudgets = shard.New[model.ServiceID, *retrybudget.Budget](shard.DefaultCount)
	j.baseCtx, j.stop = context.WithCancel(context.Background())
	j.registerMetrics(registry)
	j.registerHandlers()
}

// Drain refuses new jobs from now on and waits until the running ones have ended or ctx ends.
func (j *Jobs) Drain(ctx context.Context) {
	j.draining.Store(true)
	var running []chan struct{}
	j.jobs.Each(func(jobs map[model.JobID]*entry) {
		for _, e := range jobs {
			running = append(running, e.end)
		}
	})
	for _, end := range running {
		select {
		case <-end:
		case <-ctx.Done():
			return
		}
	}
}

// Stop cancels all batches that are in flight.
func (j *Jobs) Stop() error {
	j.stop()
	return nil
}

// Mint returns count new job ids, which only this incarnation of this member may start.
func (j *Jobs) Mint(count int) []model.JobID {
	ids := make([]model.JobID, 0, count)
	for range count {
		ids = append(ids, j.idGenerator.next(time.Now()))
	}
	return ids
}
