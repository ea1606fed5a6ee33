// Package disk keeps the durable state of a replica of the register in one file that is replaced as a
// whole with each write.
package disk

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Folder holds the register's file. Tests substitute one whose operations fail.
type Folder interface {
	// Read returns the content of a file and its inode number, or os.ErrNotExist when it is missing.
	Read(name string) (content []byte, inode uint64, err error)
	// Create opens an empty file for writing; an existing file of that name is truncated.
	Create(name string) (File, error)
	// Rename renames a file and replaces an existing file of the new name.
	Rename(from, to string) error
	// Sync makes earlier creations and renames durable.
	Sync() error
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	Inode() (uint64, error)
	Sync() error
}

const (
	folderMode = 0o755
	fileMode   = 0o600
)

// osFolder is a Folder in the file system of the operating system.
type osFolder struct{ path string }

// Open returns the folder at path and creates it when it is missing. The folder is locked for this
// process until release is called.
func Open(path string) (folder Folder, release func() error, err error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, nil, err
	}
	lock, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, nil, errors.Join(errors.Wrapf(err, "%s is in use by another process", path), lock.Close())
	}
	return osFolder{path}, lock.Close, nil
}

func (d osFolder) Read(name string) ([]byte, uint64, error) {
	f, err := os.Open(filepath.Join(d.path, name))
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	content, err := io.ReadAll(f)
	if err != nil {
		return nil, 0, err
	}
	inode, err := osFile{f}.Inode()
	return content, inode, err
}

func (d osFolder) Create(name string) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (d osFolder) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

func (d osFolder) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

type osFile struct{ *os.File }

func (f osFile) Inode() (uint64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	status, ok := info.Sys().(*syscall.Stat_t)
	if !ok {
		return 0, errors.New("the file system reports no inode numbers")
	}
	return status.Ino, nil
}
