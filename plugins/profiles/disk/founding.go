package disk

import (
	"os"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
)

// A member that takes part in a first start and knows no replicas yet may be killed and started again without the setting that says so. Its
// disk tells then that it has lost nothing.

const (
	foundingFile      = "founding"       // Exists from a member's first start.
	endedFoundingFile = "founding.ended" // The same file once the member has learned that the replicas are others.
)

// BeginFounding records that this member takes part in a first start, and returns once that is synced.
func (d *Disk) BeginFounding() error {
	f, err := d.Folder.Create(foundingFile)
	if err != nil {
		return errors.Wrapf(err, "create %s", foundingFile)
	}
	_, err = f.Write(foundingContent(d.Cluster, d.Node))
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return errors.Wrapf(err, "write %s", foundingFile)
	}
	return errors.Wrap(d.Folder.Sync(), "sync the folder")
}

// EndFounding records that the replicas are known and this member is none of them.
func (d *Disk) EndFounding() error {
	err := d.Folder.Rename(foundingFile, endedFoundingFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return errors.Join(errors.Wrapf(err, "rename %s", foundingFile), d.Folder.Sync())
}

// isFounding reports whether this member takes part in a first start that has not ended for it. One that has had a register file, even a
// damaged one, has been a replica since.
func (d *Disk) isFounding() bool {
	if _, _, err := d.Folder.Read(rejectedFile); !errors.Is(err, os.ErrNotExist) {
		return false
	}
	content, _, err := d.Folder.Read(foundingFile)
	return err == nil && string(content) == string(foundingContent(d.Cluster, d.Node))
}

func foundingContent(cluster string, node model.NodeID) []byte {
	return []byte(cluster + "\n" + string(node) + "\n")
}
