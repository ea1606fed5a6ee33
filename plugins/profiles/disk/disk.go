package disk

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/model"
	"redwingpulley/plugins/profiles/register"
	"redwingpulley/plugins/profiles/wire"
)

const (
	currentFile   = "register.json"
	temporaryFile = "register.tmp"
	rejectedFile  = "register.rejected" // An unusable or discarded file is kept under this name.
	formatVersion = 1
)

// Disk reads and writes the file in which a replica keeps its durable state of the register.
type Disk struct {
	Folder  Folder
	Node    model.NodeID
	Cluster string
	// Replicas is the group that the replica belongs to, saved with its durable state.
	Replicas []model.NodeID
	Place    model.NodeID // The replica whose place the member has; "" means the place named after the member itself.
	Since    time.Time    // When the member took the place.

	encoder wire.DurableEncoder
}

// envelope is the file's content after the checksum line, with the encoded form R of what the replica keeps.
type envelope[R any] struct {
	Format  int          `json:"format"`
	Cluster string       `json:"cluster"`
	Node    model.NodeID `json:"node"`
	Inode   uint64       `json:"inode"` // Inode number of the written file; a copy of the file has another one.

	Replicas []model.NodeID `json:"replicas,omitempty"`
	Place    model.NodeID   `json:"place,omitempty"`
	Since    time.Time      `json:"since,omitzero"`
	Register R              `json:"register"`
}

// Loaded is the result of Load.
type Loaded struct {
	Durable *register.Durable // Nil when there is no usable file.
	Copied  bool              // Whether the file is a copy of the one that was written.

	Replicas []model.NodeID // The group that the replica belongs to.
	Place    model.NodeID   // The replica whose place the member has; "" means the place named after the member itself.
	Since    time.Time      // When the member took the place; zero in a file of an earlier version.
	Fault    error          // Why an existing file is unusable, or nil.

	Founding bool // There is no file, and the member takes part in a first start; see BeginFounding.
}

// Load reads the file. An unusable file is renamed, so that it is kept but not read again.
func (d *Disk) Load() (Loaded, error) {
	content, inode, err := d.Folder.Read(currentFile)
	if errors.Is(err, os.ErrNotExist) {
		return Loaded{Founding: d.isFounding()}, nil
	}
	if err != nil {
		return Loaded{}, errors.Wrapf(err, "read %s", currentFile)
	}
	e, fault := d.decode(content)
	if fault != nil {
		return Loaded{Fault: fault}, errors.Wrap(d.Folder.Rename(currentFile, rejectedFile), "put the unusable register file aside")
	}
	durable, _ := e.Register.Decode()
	return Loaded{Durable: &durable, Copied: e.Inode != inode, Replicas: e.Replicas, Place: e.Place, Since: e.Since}, nil
}

func (d *Disk) decode(content []byte) (envelope[wire.Durable], error) {
	sum, body, _ := bytes.Cut(content, []byte("\n"))
	if string(sum) != checksum(body) {
		return envelope[wire.Durable]{}, errors.New("the checksum does not match: the file is torn or damaged")
	}
	var e envelope[wire.Durable]
	if err := json.Unmarshal(body, &e); err != nil {
		return envelope[wire.Durable]{}, err
	}
	if e.Format != formatVersion {
		return envelope[wire.Durable]{}, errors.Newf("the file has format %d, not %d", e.Format, formatVersion)
	}
	if e.Node != d.Node || e.Cluster != d.Cluster {
		return envelope[wire.Durable]{}, errors.Newf("the file belongs to node %q of cluster %q", e.Node, e.Cluster)
	}
	if _, ok := e.Register.Decode(); !ok {
		return envelope[wire.Durable]{}, errors.New("the file lacks the accepted or the chosen state")
	}
	return e, nil
}

func checksum(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// Discard renames the file, so that it is kept but not read again. It is called when another member has
// taken the replica's place.
func (d *Disk) Discard() error {
	err := d.Folder.Rename(currentFile, rejectedFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return errors.Join(errors.Wrap(err, "put the discarded register file aside"), d.Folder.Sync())
}

// Save replaces the file atomically and returns once the new one is synced. After an error the file
// is whole: the former one, or the new one when only the sync of the folder failed.
func (d *Disk) Save(durable register.Durable) error {
	f, err := d.Folder.Create(temporaryFile)
	if err != nil {
		return errors.Wrapf(err, "create %s", temporaryFile)
	}
	if err := errors.Join(d.writeFile(f, durable), f.Close()); err != nil {
		return errors.Wrapf(err, "write %s", temporaryFile)
	}
	if err := d.Folder.Rename(temporaryFile, currentFile); err != nil {
		return errors.Wrapf(err, "replace %s", currentFile)
	}
	return errors.Wrap(d.Folder.Sync(), "sync the folder")
}

func (d *Disk) writeFile(f File, durable register.Durable) error {
	inode, err := f.Inode()
	if err != nil {
		return err
	}
	encoded, err := d.encoder.Encode(durable)
	if err != nil {
		return err
	}
	body, err := json.Marshal(envelope[wire.EncodedDurable]{
		Format: formatVersion, Cluster: d.Cluster, Node: d.Node, Inode: inode, Replicas: d.Replicas, Place: d.Place, Since: d.Since,
		Register: encoded,
	})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(f, "%s\n%s", checksum(body), body); err != nil {
		return err
	}
	return f.Sync()
}
