package profiles

import (
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/kernel/port"
	"redwingpulley/plugins/profiles/disk"
	"redwingpulley/plugins/profiles/register"
)

// Guards against a replica that shows as a voter before that is synced: one that was killed in between came back as if
// its disk were lost, and needed more of the others than a majority to vote again.
func TestReplica_VotesOnlyOnceThatIsSynced(t *testing.T) {
	is := is.New(t)
	folder, release, err := disk.Open(t.TempDir())
	is.NoErr(err)
	defer release()
	p := &Profiles{self: "a", path: "profiles", log: slog.New(slog.DiscardHandler), recorder: &fakePorts{}}
	p.disk = disk.Disk{Folder: folder, Node: "a"}
	p.wakeup = make(chan struct{}, 1)
	p.group.Store(newGroup([]model.NodeID{"a"}))
	p.installMachine("a", disk.Loaded{}, register.Store{})
	p.step(register.Woken{})
	is.Equal(p.Replica(), port.ReplicaLearner)
	effects, _ := p.takeEffects()
	is.True(p.saveLast(effects))
	is.Equal(p.Replica(), port.ReplicaVoter)
	loaded, err := p.disk.Load()
	is.NoErr(err)
	is.True(loaded.Durable.Voting)
}
