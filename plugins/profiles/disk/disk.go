package disk

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/profiles/register"
	"redwingpulley/plugins/profiles/wire"
)

const (
	current  = "register.json"
	written  = "register.tmp"
	rejected = "register.rejected" // A file that could not be used is kept under this name.
	format   = 1
)

// Disk keeps a replica's part of the register.
type Disk struct {
	Folder  Folder
	Node    model.NodeID
	Cluster string
	// Replicas is the group that this one belongs to, kept with what it agreed on.
	Replicas []model.NodeID
	Place    model.NodeID // The replica whose place the node has; "" is its own.
}

// envelope is the file's content behind the checksum line.
type envelope struct {
	Format  int          `json:"format"`
	Cluster string       `json:"cluster"`
	Node    model.NodeID `json:"node"`
	Inode   uint64       `json:"inode"` // Of this file; differs in a copy.

	Replicas []model.NodeID `json:"replicas,omitempty"`
	Place    model.NodeID   `json:"place,omitempty"`
	Register wire.Durable   `json:"register"`
}

// Loaded is what a disk held at the start.
type Loaded struct {
	Durable *register.Durable // Nil when there is nothing that can be used.
	Copied  bool              // The file is a copy of the one that was written.

	Replicas []model.NodeID // The group that the replica belongs to.
	Place    model.NodeID   // The replica whose place the node has; "" is its own.
	Fault    error          // Why a file that is there cannot be used.
}

// Load reads the file. A file that cannot be used is put aside.
func (d Disk) Load() (Loaded, error) {
	content, inode, err := d.Folder.Read(current)
	if errors.Is(err, os.ErrNotExist) {
		return Loaded{}, nil
	}
	if err != nil {
		return Loaded{}, errors.Wrapf(err, "read %s", current)
	}
	e, fault := d.decode(content)
	if fault != nil {
		return Loaded{Fault: fault}, errors.Wrap(d.Folder.Rename(current, rejected), "put a faulty file aside")
	}
	durable, _ := e.Register.Decode()
	return Loaded{Durable: &durable, Copied: e.Inode != inode, Replicas: e.Replicas, Place: e.Place}, nil
}

func (d Disk) decode(content []byte) (envelope, error) {
	sum, body, _ := bytes.Cut(content, []byte("\n"))
	if string(sum) != checksum(body) {
		return envelope{}, errors.New("the checksum does not match: the file is torn or damaged")
	}
	var e envelope
	if err := json.Unmarshal(body, &e); err != nil {
		return envelope{}, err
	}
	if e.Format != format {
		return envelope{}, errors.Newf("the file has format %d, not %d", e.Format, format)
	}
	if e.Node != d.Node || e.Cluster != d.Cluster {
		return envelope{}, errors.Newf("the file belongs to node %q of cluster %q", e.Node, e.Cluster)
	}
	if _, ok := e.Register.Decode(); !ok {
		return envelope{}, errors.New("the file lacks a state")
	}
	return e, nil
}

func checksum(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// Discard puts the file aside: another node has the replica's place.
func (d Disk) Discard() error {
	err := d.Folder.Rename(current, rejected)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return errors.Join(errors.Wrap(err, "put the file aside"), d.Folder.Sync())
}

// Save replaces the file and returns once that lasts. After an error the former file is still
// there.
func (d Disk) Save(durable register.Durable) error {
	f, err := d.Folder.Create(written)
	if err != nil {
		return errors.Wrapf(err, "create %s", written)
	}
	if err := errors.Join(d.write(f, durable), f.Close()); err != nil {
		return errors.Wrapf(err, "write %s", written)
	}
	if err := d.Folder.Rename(written, current); err != nil {
		return errors.Wrapf(err, "replace %s", current)
	}
	return errors.Wrap(d.Folder.Sync(), "sync the folder")
}

func (d Disk) write(f File, durable register.Durable) error {
	inode, err := f.Inode()
	if err != nil {
		return err
	}
	body, err := json.Marshal(envelope{
		Format: format, Cluster: d.Cluster, Node: d.Node, Inode: inode, Replicas: d.Replicas, Place: d.Place,
		Register: wire.EncodeDurable(durable),
	})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(f, "%s\n%s", checksum(body), body); err != nil {
		return err
	}
	return f.Sync()
}
