package operators

import (
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
)

const (
	maxQueueTasks  = 1_000_000
	maxDeadline    = time.Hour
	maxRunTime     = time.Hour
	maxMessageCost = time.Minute
	maxDrain       = 10 * time.Minute
	maxQuotaBurst  = time.Minute
	maxQuota       = 1_000_000 // Task starts a second of one team.
	maxQuotas      = 1000      // Teams with a quota in one profile.
	maxNameLength  = 64        // Limit on the name of a team or service, in bytes.
	maxRetryBudget = 1
)

var profileNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9_-]{0,61}[a-z0-9])?$`)

// profileBody is a profile as operators declare it. Fields that a declaration leaves out have the
// values of the built-in profile.
type profileBody struct {
	Name              model.ProfileName        `json:"name"`
	Placement         string                   `json:"placement"`
	Admission         string                   `json:"admission"`
	MessageCostUS     int64                    `json:"message_cost_us"`
	QueueTasks        int                      `json:"queue_tasks"`
	MaxDeadlineMS     int64                    `json:"max_deadline_ms"`
	DefaultDeadlineMS int64                    `json:"default_deadline_ms"`
	RetryBudget       float64                  `json:"retry_budget"`
	DefaultRunMS      int64                    `json:"default_run_ms"`
	LearnWeight       float64                  `json:"learn_weight"`
	DrainMS           int64                    `json:"drain_ms"`
	Quotas            map[model.TeamID]float64 `json:"quotas,omitempty"`
	QuotaBurstMS      int64                    `json:"quota_burst_ms"`
}

func newProfileBody(p model.Profile) profileBody {
	return profileBody{
		Name: p.Name, Placement: p.Placement, Admission: p.Admission, QueueTasks: p.QueueTasks,
		MessageCostUS:     p.MessageCost.Microseconds(),
		MaxDeadlineMS:     p.MaxDeadline.Milliseconds(),
		DefaultDeadlineMS: p.DefaultDeadline.Milliseconds(),
		RetryBudget:       p.RetryBudget,
		DefaultRunMS:      p.DefaultRunTime.Milliseconds(),
		LearnWeight:       p.LearnWeight,
		DrainMS:           p.DrainTime.Milliseconds(),
		Quotas:            p.Quotas,
		QuotaBurstMS:      p.QuotaBurst.Milliseconds(),
	}
}

func (b profileBody) profile() model.Profile {
	return model.Profile{
		Name: b.Name, Placement: b.Placement, Admission: b.Admission, QueueTasks: b.QueueTasks,
		MessageCost:     time.Duration(b.MessageCostUS) * time.Microsecond,
		MaxDeadline:     milliseconds(b.MaxDeadlineMS),
		DefaultDeadline: milliseconds(b.DefaultDeadlineMS),
		RetryBudget:     b.RetryBudget,
		DefaultRunTime:  milliseconds(b.DefaultRunMS),
		LearnWeight:     b.LearnWeight,
		DrainTime:       milliseconds(b.DrainMS),
		Quotas:          b.Quotas,
		QuotaBurst:      milliseconds(b.QuotaBurstMS),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// policies are the names of the linked placement and admission plug-ins, which a profile may choose.
type policies struct {
	placements []string
	admissions []string
}

// check returns all faults of the declaration joined into one error, each with the name of its field.
func (b profileBody) check(known policies) error {
	var f faults
	f.require(profileNamePattern.MatchString(string(b.Name)), "name", "must be lower-case letters, digits, hyphens and underscores")
	f.oneOf("placement", b.Placement, known.placements)
	f.oneOf("admission", b.Admission, known.admissions)
	f.within("message_cost_us", b.MessageCostUS, 0, maxMessageCost.Microseconds())
	f.within("queue_tasks", int64(b.QueueTasks), 1, maxQueueTasks)
	f.within("max_deadline_ms", b.MaxDeadlineMS, 1, maxDeadline.Milliseconds())
	f.within("default_deadline_ms", b.DefaultDeadlineMS, 1, maxDeadline.Milliseconds())
	f.require(b.DefaultDeadlineMS <= b.MaxDeadlineMS, "default_deadline_ms", "must not be above max_deadline_ms")
	f.require(b.RetryBudget >= 0 && b.RetryBudget <= maxRetryBudget, "retry_budget", "must be 0 to 1")
	f.within("default_run_ms", b.DefaultRunMS, 1, maxRunTime.Milliseconds())
	f.require(b.LearnWeight > 0 && b.LearnWeight <= 1, "learn_weight", "must be above 0 and at most 1")
	f.within("drain_ms", b.DrainMS, 0, maxDrain.Milliseconds())
	f.within("quota_burst_ms", b.QuotaBurstMS, 1, maxQuotaBurst.Milliseconds())
	b.checkQuotas(&f)
	return errors.Join(f.all...)
}

func (b profileBody) checkQuotas(f *faults) {
	if len(b.Quotas) > maxQuotas {
		f.require(false, "quotas", "must name at most 1000 teams")
		return
	}
	teams := make([]string, 0, len(b.Quotas))
	for team := range b.Quotas {
		teams = append(teams, string(team))
	}
	slices.Sort(teams)
	for _, team := range teams {
		quota := b.Quotas[model.TeamID(team)]
		f.require(team != "" && len(team) <= maxNameLength, "quotas", "must name teams by 1 to 64 characters")
		f.require(quota >= 0 && quota <= maxQuota && !math.IsNaN(quota), "quotas."+team, "must be 0 to 1000000 task starts a second")
	}
}

// faults collects the faults of a declaration.
type faults struct{ all []error }

// require adds a fault of the field unless the condition holds.
func (f *faults) require(holds bool, field, message string) {
	if !holds {
		f.all = append(f.all, errors.Newf("%s: %s", field, message))
	}
}

// within adds a fault of the field unless least <= value <= most.
func (f *faults) within(field string, value, least, most int64) {
	if value < least || value > most {
		f.all = append(f.all, errors.Newf("%s: must be %d to %d", field, least, most))
	}
}

func (f *faults) oneOf(field, value string, known []string) {
	f.require(slices.Contains(known, value), field, "must be one of "+strings.Join(known, ", "))
}
