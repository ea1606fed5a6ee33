package disk

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/profiles/register"
)

func sampleDurable(votes uint64) register.Durable {
	state := register.Initial()
	state.Set.Revision = model.Revision(votes)
	state.History = []model.ProfileChange{{Revision: 1, ID: "c1", Operator: "ana"}}
	return register.Durable{
		Store: register.Store{Number: 1, Nonce: 7}, Voting: true, Votes: votes,
		Promised: register.Ballot{Round: 3, Node: "a", Run: 9},
		Value:    state, Chosen: state,
		Fences: map[model.NodeID]register.Store{"a": {Number: 1, Nonce: 7}},
		Seen:   map[model.NodeID]uint64{"a": votes},
	}
}

func openDisk(t *testing.T) (Disk, string) {
	t.Helper()
	path := t.TempDir()
	folder, release, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { release() })
	return Disk{Folder: folder, Node: "a", Cluster: "c"}, path + "/" + currentFile
}

func TestLoad_ReturnsLastSave(t *testing.T) {
	is := is.New(t)
	d, _ := openDisk(t)
	empty, err := d.Load()
	is.NoErr(err)
	is.Equal(empty, Loaded{})
	is.NoErr(d.Save(sampleDurable(4)))
	is.NoErr(d.Save(sampleDurable(5)))
	loaded, err := d.Load()
	is.NoErr(err)
	is.Equal(loaded.Copied, false)
	is.Equal(*loaded.Durable, sampleDurable(5))
}

// Guards against a file that loses the time at which the member took its place, and against a file of an earlier version,
// without the time, that is refused.
func TestLoad_ReturnsWhenThePlaceWasTaken(t *testing.T) {
	for _, since := range []time.Time{time.Unix(1700000000, 0).UTC(), {}} {
		is := is.New(t)
		d, path := openDisk(t)
		d.Since = since
		is.NoErr(d.Save(sampleDurable(4)))
		content, err := os.ReadFile(path)
		is.NoErr(err)
		is.Equal(strings.Contains(string(content), `"since"`), !since.IsZero())
		loaded, err := d.Load()
		is.NoErr(err)
		is.Equal(loaded.Since, since)
		is.Equal(*loaded.Durable, sampleDurable(4))
	}
}

func TestLoad_RejectsFileTruncatedAtAnyByte(t *testing.T) {
	is := is.New(t)
	d, path := openDisk(t)
	is.NoErr(d.Save(sampleDurable(4)))
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for length := range whole {
		is.NoErr(os.WriteFile(path, whole[:length], fileMode))
		loaded, err := d.Load()
		is.NoErr(err)
		is.True(loaded.Durable == nil)
		is.True(loaded.Fault != nil)
	}
}

func TestLoad_RejectsFileWithFlippedBit(t *testing.T) {
	is := is.New(t)
	d, path := openDisk(t)
	is.NoErr(d.Save(sampleDurable(4)))
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for i := range whole {
		damaged := append([]byte{}, whole...)
		damaged[i] ^= 1 << (i % 8)
		is.NoErr(os.WriteFile(path, damaged, fileMode))
		loaded, err := d.Load()
		is.NoErr(err)
		is.True(loaded.Durable == nil)
	}
}

func TestLoad_RejectsAndKeepsForeignFile(t *testing.T) {
	is := is.New(t)
	d, path := openDisk(t)
	for _, other := range []Disk{{Folder: d.Folder, Node: "b", Cluster: "c"}, {Folder: d.Folder, Node: "a", Cluster: "d"}} {
		is.NoErr(other.Save(sampleDurable(4)))
		loaded, err := d.Load()
		is.NoErr(err)
		is.True(loaded.Durable == nil)
		is.True(strings.Contains(loaded.Fault.Error(), "belongs to"))
		_, err = os.Stat(strings.Replace(path, currentFile, rejectedFile, 1))
		is.NoErr(err)
	}
}

func TestLoad_ReportsRestoredCopy(t *testing.T) {
	is := is.New(t)
	d, path := openDisk(t)
	is.NoErr(d.Save(sampleDurable(4)))
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path+".copy", whole, fileMode))
	is.NoErr(os.Rename(path+".copy", path))
	loaded, err := d.Load()
	is.NoErr(err)
	is.True(loaded.Copied)
	is.Equal(loaded.Durable.Votes, uint64(4))
}

func TestOpen_FailsWhileFolderIsInUse(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	_, release, err := Open(path)
	is.NoErr(err)
	_, _, err = Open(path)
	is.True(err != nil)
	is.NoErr(release())
	_, release, err = Open(path)
	is.NoErr(err)
	is.NoErr(release())
}

// failingFolder is a Folder whose failAt-th step fails as on a full disk. Steps are calls of Create,
// Rename and Sync, and of Write and Sync of its files.
type failingFolder struct {
	Folder
	failAt int
	steps  *int
}

// countStep counts a step and returns its error, if it is the one that fails.
func (f failingFolder) countStep() error {
	*f.steps++
	if *f.steps == f.failAt {
		return syscall.ENOSPC
	}
	return nil
}

func (f failingFolder) Create(name string) (File, error) {
	if err := f.countStep(); err != nil {
		return nil, err
	}
	file, err := f.Folder.Create(name)
	return failingFile{file, f}, err
}

func (f failingFolder) Rename(from, to string) error {
	if err := f.countStep(); err != nil {
		return err
	}
	return f.Folder.Rename(from, to)
}

func (f failingFolder) Sync() error {
	if err := f.countStep(); err != nil {
		return err
	}
	return f.Folder.Sync()
}

type failingFile struct {
	File
	folder failingFolder
}

// Write writes half of the content before it fails.
func (f failingFile) Write(content []byte) (int, error) {
	if err := f.folder.countStep(); err != nil {
		n, _ := f.File.Write(content[:len(content)/2])
		return n, err
	}
	return f.File.Write(content)
}

func (f failingFile) Sync() error {
	if err := f.folder.countStep(); err != nil {
		return err
	}
	return f.File.Sync()
}

func TestSave_FullDiskReturnsErrorAndKeepsWholeFile(t *testing.T) {
	const stepsOfSave = 5 // Create, write and sync of the file, rename, sync of the folder.
	for failAt := 1; failAt <= stepsOfSave; failAt++ {
		is := is.New(t)
		d, _ := openDisk(t)
		is.NoErr(d.Save(sampleDurable(4)))
		full := Disk{Folder: failingFolder{d.Folder, failAt, new(int)}, Node: d.Node, Cluster: d.Cluster}
		is.True(full.Save(sampleDurable(5)) != nil)
		loaded, err := d.Load()
		is.NoErr(err)
		is.True(loaded.Durable.Votes == 4 || failAt == stepsOfSave && loaded.Durable.Votes == 5)
	}
}
