package disk

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func (d *Disk) loadsFounding(is *is.I) bool {
	is.Helper()
	loaded, err := d.Load()
	is.NoErr(err)
	return loaded.Founding
}

// Guards against review/10: all members with disks were killed during a first start, and none could tell afterwards that it had lost nothing.
func TestFoundingIsKnownUntilAReplicaHasItsFileOrTheReplicasAreOthers(t *testing.T) {
	is := is.New(t)
	d, _ := openDisk(t)
	is.NoErr(d.EndFounding()) // There is nothing to end.
	is.True(!d.loadsFounding(is))
	is.NoErr(d.BeginFounding())
	is.True(d.loadsFounding(is))
	is.NoErr(d.EndFounding())
	is.True(!d.loadsFounding(is))

	is.NoErr(d.BeginFounding())
	is.NoErr(d.Save(sampleDurable(1)))
	is.True(!d.loadsFounding(is))
	is.NoErr(d.Discard()) // Another member has taken the replica's place.
	is.True(!d.loadsFounding(is))
}

// Guards against a member that takes itself for one of a first start: its register file was damaged, or its folder is another member's.
func TestFoundingDoesNotOutliveADamagedRegisterNorACopyOfTheFolder(t *testing.T) {
	is := is.New(t)
	d, path := openDisk(t)
	is.NoErr(d.BeginFounding())
	other := Disk{Folder: d.Folder, Node: "b", Cluster: d.Cluster}
	is.True(!other.loadsFounding(is))
	is.NoErr(os.WriteFile(path, []byte("damaged"), fileMode))
	is.True(!d.loadsFounding(is)) // The file is put aside.
	is.True(!d.loadsFounding(is))
	is.NoErr(os.Remove(strings.Replace(path, currentFile, rejectedFile, 1)))
	is.True(d.loadsFounding(is))
}
