package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strconv"

	"github.com/cockroachdb/errors"
)

// DecodeStrict decodes one JSON value into target and refuses unknown keys, keys in another case,
// duplicate keys and trailing data. Errors begin with the JSON path below prefix.
func DecodeStrict(raw []byte, prefix string, target any) error {
	if err := checkKeys(raw, prefix, reflect.TypeOf(target)); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return describe(err, prefix)
	}
	return nil
}

func describe(err error, prefix string) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return errors.Newf("%s: must be %s, not %s", join(prefix, wrongType.Field), wrongType.Type, wrongType.Value)
	}
	if prefix == "" {
		return err
	}
	return errors.Wrap(err, prefix)
}

// checkKeys walks the tokens of raw beside the type that it is decoded into, and returns an error
// for the first object key that stands twice or that the type does not have, or for data behind the
// value.
func checkKeys(raw []byte, prefix string, target reflect.Type) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	if err := walkValue(decoder, prefix, target); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.Newf("%s: there is data behind the value", orRoot(prefix))
	}
	return nil
}

func walkValue(decoder *json.Decoder, path string, target reflect.Type) error {
	token, err := decoder.Token()
	if err != nil {
		return errors.Wrapf(err, "%s", orRoot(path))
	}
	switch token {
	case json.Delim('{'):
		return walkObject(decoder, path, shapeOf(target))
	case json.Delim('['):
		return walkArray(decoder, path, shapeOf(target))
	}
	return nil
}

func walkObject(decoder *json.Decoder, path string, target shape) error {
	seen := make(map[string]bool)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return errors.Wrapf(err, "%s", orRoot(path))
		}
		key := token.(string)
		if seen[key] {
			return errors.Newf("%s: is there twice", join(path, key))
		}
		seen[key] = true
		field, known := target.field(key)
		if !known {
			return errors.Newf("%s: no such key", join(path, key))
		}
		if err := walkValue(decoder, join(path, key), field); err != nil {
			return err
		}
	}
	return closing(decoder, path)
}

func walkArray(decoder *json.Decoder, path string, target shape) error {
	for i := 0; decoder.More(); i++ {
		if err := walkValue(decoder, pathIndex(path, i), target.element); err != nil {
			return err
		}
	}
	return closing(decoder, path)
}

func closing(decoder *json.Decoder, path string) error {
	_, err := decoder.Token()
	return errors.Wrapf(err, "%s", orRoot(path))
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	if key == "" {
		return path
	}
	return path + "." + key
}

func orRoot(path string) string {
	if path == "" {
		return "(root)"
	}
	return path
}

func pathIndex(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
