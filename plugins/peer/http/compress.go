package http

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"redwingpulley/kernel/port"
)

const (
	// compressAbove is the size of a body in bytes from which on it is compressed: a state with a large routing or the
	// full state of a large membership, which would occupy a narrow link for long.
	compressAbove = 8 << 10
	encodingGzip  = "gzip"
)

// compressors holds unused writers, which are expensive to allocate.
var compressors = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // Fails for an invalid level only.
	return w
}}

// compress returns the body in compressed form, or nil when it is small.
func compress(body []byte) ([]byte, error) {
	if len(body) <= compressAbove {
		return nil, nil
	}
	w := compressors.Get().(*gzip.Writer)
	defer compressors.Put(w)
	var compressed bytes.Buffer
	w.Reset(&compressed)
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	err := w.Close()
	return compressed.Bytes(), err
}

// Encode encodes a request, compressed as well where it is large.
func (p *Peers) Encode(request any) (port.EncodedRequest, error) {
	if encoded, ok := request.(port.EncodedRequest); ok {
		return encoded, nil
	}
	plain, err := json.Marshal(request)
	if err != nil {
		return port.EncodedRequest{}, err
	}
	compressed, err := compress(plain)
	return port.EncodedRequest{Plain: plain, Compressed: compressed}, err
}

// requestBody returns a request's body, decompressed where its header says so, of at most limit bytes.
func requestBody(w http.ResponseWriter, r *http.Request, limit int64) (io.Reader, error) {
	body := http.MaxBytesReader(w, r.Body, limit)
	if r.Header.Get("Content-Encoding") != encodingGzip {
		return body, nil
	}
	decompressed, err := gzip.NewReader(body)
	if err != nil {
		return nil, errors.Wrap(err, "compressed body")
	}
	return io.LimitReader(decompressed, limit), nil
}

// writeReply writes an encoded reply, compressed where it is large and the caller accepts that.
func writeReply(w http.ResponseWriter, r *http.Request, reply any) error {
	body, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	if strings.Contains(r.Header.Get("Accept-Encoding"), encodingGzip) {
		compressed, err := compress(body)
		if err != nil {
			return err
		}
		if compressed != nil {
			w.Header().Set("Content-Encoding", encodingGzip)
			body = compressed
		}
	}
	_, err = w.Write(body)
	return err
}
