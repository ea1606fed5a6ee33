package file

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
)

const searchBlock = 64 << 10 // Bytes that are searched at a time for the end of the last whole line.

// removeTornLine truncates the file after its last whole line and returns its size. A process that is killed leaves a part
// of a line; what the next one appends to it would make the whole file unreadable.
func removeTornLine(file *os.File) (size int64, err error) {
	info, err := file.Stat()
	if err != nil {
		return 0, err
	}
	whole, err := endOfLastLine(file, info.Size())
	if err != nil || whole == info.Size() {
		return whole, err
	}
	return whole, errors.Wrap(file.Truncate(whole), "remove a torn line")
}

// endOfLastLine returns the offset after the last line break before size, or 0.
func endOfLastLine(file *os.File, size int64) (int64, error) {
	block := make([]byte, searchBlock)
	for end := size; end > 0; {
		start := max(0, end-searchBlock)
		part := block[:end-start]
		if _, err := file.ReadAt(part, start); err != nil {
			return 0, err
		}
		if at := bytes.LastIndexByte(part, '\n'); at >= 0 {
			return start + int64(at) + 1, nil
		}
		end = start
	}
	return 0, nil
}
