package crashes

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
)

// Guards against tasks that are given up although no endpoint has crashed under them.
func TestOnlyCrashesCount(t *testing.T) {
	for cause, want := range map[port.LossCause]bool{
		port.LossCrashed: true, port.LossRefusing: true, port.LossNotBegun: true,
		port.LossSilent: false, port.LossLeft: false, port.LossDropped: false, port.LossUnknown: false,
	} {
		is := is.New(t)
		loss, counts := LossOf("e1", cause)
		is.Equal(counts, want)
		is.Equal(loss.Crashed, cause == port.LossCrashed)
	}
}

func TestVerdictFollowsCertainAndPossibleCrashes(t *testing.T) {
	crashed := func(id model.EndpointID) model.Loss { return model.Loss{Endpoint: id, Crashed: true} }
	possible := func(id model.EndpointID) model.Loss { return model.Loss{Endpoint: id} }
	for _, c := range []struct {
		losses []model.Loss
		want   Verdict
	}{
		{nil, Clear},
		{[]model.Loss{possible("a")}, Isolate},
		{[]model.Loss{crashed("a")}, Isolate},
		{[]model.Loss{crashed("a"), crashed("a"), possible("a")}, Isolate}, // One endpoint, reported three times.
		{[]model.Loss{possible("a"), crashed("a"), crashed("b")}, Exhausted},
		{[]model.Loss{crashed("a"), possible("b"), possible("c")}, Isolate},
		{[]model.Loss{possible("a"), possible("b"), possible("c"), possible("d")}, Exhausted},
	} {
		is := is.New(t)
		is.Equal(Judge(Merge(nil, c.losses)), c.want)
	}
}

// Guards against members that disagree on a task, since they have learned of its losses in another order.
func TestMergedRecordsDoNotDependOnTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		losses := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) model.Loss {
			return model.Loss{Endpoint: rapid.SampledFrom([]model.EndpointID{"a", "b", "c", "d", "e"}).Draw(t, "endpoint"), Crashed: rapid.Bool().Draw(t, "crashed")}
		}), 0, 12).Draw(t, "losses")
		permuted := rapid.Permutation(losses).Draw(t, "permuted")
		if Judge(Merge(nil, losses)) != Judge(Merge(Merge(nil, permuted), losses)) {
			t.Fatalf("verdicts on %v differ by order", losses)
		}
	})
}
